/**
 * Tells the fleet early that this VM leaves.
 */

import * as kernel from "@hemlockwalk/kernel";
import type * as gossip from "./gossip_membership.ts";

/**
 * Announces at the very beginning of a planned stop that this VM leaves. Registered as the last
 * service, it drains first.
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

/** The name under which the announcement is found. */
export const LEAVING_ANNOUNCEMENT = kernel.createServiceName<LeavingAnnouncement>(
  "leaving-announcement",
);
