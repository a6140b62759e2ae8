/**
 * A membership that never changes, for a VM without peers.
 */

import * as kernel from "@hemlockwalk/kernel";
import type * as types from "./types.ts";

/** A membership whose only member is this VM. */
export class SoleMembership implements types.Membership {
  readonly self: types.VmIdentity;
  readonly #address: string;

  constructor(self: types.VmIdentity, address: string) {
    this.self = self;
    this.#address = address;
  }

  listMembers(): readonly types.Member[] {
    return [{ ...this.self, address: this.#address, state: "live" }];
  }

  onChange(_listener: () => void): void {
    // The view never changes, so no listener is ever called.
  }
}

/** Service name of the membership. */
export const MEMBERSHIP = kernel.createServiceName<types.Membership>("membership");
