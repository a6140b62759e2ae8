/**
 * Chooses the rate limiter of a VM.
 */

import * as configuration from "@hemlockwalk/configuration";
import * as fleet from "@hemlockwalk/fleet";
import * as kernel from "@hemlockwalk/kernel";
import * as escrow from "./escrow_limiter.ts";
import * as staticShares from "./static_share_limiter.ts";
import type * as types from "./types.ts";

/**
 * Creates the limiter that pools rates over the fleet or, on a VM without peer links, the limiter
 * that spends this VM's fixed share. Both stay within rate and burst for any `vmLimit` that a
 * release note sets.
 *
 * @param services Provides the configuration and the metrics and, on a VM with peers, the peer
 * network and the membership.
 */
export function createRateLimiter(
  services: kernel.Kernel,
  logger: kernel.ComponentLogger,
): types.RateLimiter {
  const configurationService = services.get(configuration.CONFIGURATION);
  const network = services.find(fleet.PEER_NETWORK);
  const membership = services.find(fleet.MEMBERSHIP);
  if (network === undefined || membership === undefined) {
    return new staticShares.StaticShareLimiter(configurationService);
  }
  return new escrow.EscrowLimiter({
    configuration: configurationService,
    network,
    membership,
    metrics: services.get(kernel.METRICS),
    logger,
  });
}
