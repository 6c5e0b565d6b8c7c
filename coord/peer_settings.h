/*
 * peer_settings.h - peer options from the settings file.
 */
#ifndef BCT_COORD_PEER_SETTINGS_H
#define BCT_COORD_PEER_SETTINGS_H

#include "coord/peer.h"
#include "gen/settings.h"

/*
 * bct_peer_opts_fill(3): set the names, addresses, secret and number of seeds from the settings.
 * Other options are left unchanged. Strings are not copied, so the settings must outlive the
 * options.
 */
void bct_peer_opts_fill(const bct_settings_t *s, bct_peer_opts_t *o);

#endif
