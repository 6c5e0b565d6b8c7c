/*
 * peer_settings.h - what the settings say of a node among its peers.
 */
#ifndef BCT_COORD_PEER_SETTINGS_H
#define BCT_COORD_PEER_SETTINGS_H

#include "coord/peer.h"
#include "gen/settings.h"

/* bct_peer_opts_fill(3): names, addresses and the secret; the rest of the options stays as it is.
 */
void bct_peer_opts_fill(const bct_settings_t *s, bct_peer_opts_t *o);

#endif
