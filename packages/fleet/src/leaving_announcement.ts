/**
 * Announces to the fleet that this VM is about to stop.
 */

import * as kernel from "@hemlockwalk/kernel";
import type * as gossip from "./gossip_membership.ts";

/**
 * Announces at the very beginning of a planned stop that this VM leaves. It is registered last,
 * since the service that was registered last drains first.
 */
export class LeavingAnnouncement implements kernel.Service {
  readonly #membership: gossip.GossipMembership;

  constructor(membership: gossip.GossipMembership) {
    this.#membership = membership;
  }

  drain(): void {
    this.#membership.announceLeaving();
  }
}

/** Service name of the announcement. */
export const LEAVING_ANNOUNCEMENT = kernel.createServiceName<LeavingAnnouncement>(
  "leaving-announcement",
);
