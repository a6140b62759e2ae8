/**
 * How much of a workspace's rate and burst is reserved, divided equally between all VMs.
 *
 * Only with a large burst does a disconnected part of the fleet hold whole tokens. With a small
 * one, the reserved part would be lost in normal operation and useless in a partition.
 */

import type * as configuration from "@hemlockwalk/configuration";
import type * as model from "@hemlockwalk/model";
import * as safety from "./safety_margins.ts";

/** Which workspaces have a reserved part, and how large it is. */
export interface ReservedPolicy {
  /** Share (0 to 1) of rate and burst. */
  readonly share: number;
  /** Workspaces with a smaller burst have no reserved part. */
  readonly minimumBurst: number;
}

/** The policy in production. */
export const RESERVED_POLICY: ReservedPolicy = { share: 0.2, minimumBurst: 200 };

interface RetiredConfiguration {
  readonly snapshot: configuration.Snapshot;
  readonly sinceMilliseconds: number;
}

/** The configurations on which some VM of the fleet may still act. */
export class RecentConfigurations {
  readonly #policy: ReservedPolicy;
  #current: configuration.Snapshot | undefined;
  #sinceMilliseconds = Number.NEGATIVE_INFINITY;
  #firstRecordedMilliseconds: number | undefined;
  #retired: RetiredConfiguration[] = [];

  constructor(policy: ReservedPolicy) {
    this.#policy = policy;
  }

  get current(): configuration.Snapshot | undefined {
    return this.#current;
  }

  /** When the current configuration came into force on this VM. */
  get sinceMilliseconds(): number {
    return this.#sinceMilliseconds;
  }

  /** When all VMs that keep up with the configuration act on the current one. */
  get settledMilliseconds(): number {
    return this.#sinceMilliseconds + this.#getSettleMilliseconds();
  }

  /** Records the configuration in force. */
  record(snapshot: configuration.Snapshot | undefined, nowMilliseconds: number): void {
    if (snapshot === this.#current) {
      return;
    }
    this.#firstRecordedMilliseconds ??= nowMilliseconds;
    if (this.#current !== undefined) {
      this.#retired.push({ snapshot: this.#current, sinceMilliseconds: nowMilliseconds });
    }
    this.#current = snapshot;
    this.#sinceMilliseconds = nowMilliseconds;
  }

  /** Reserved share of a workspace: the highest on which some VM may still act. */
  getShare(workspace: model.Workspace, nowMilliseconds: number): number {
    let share = this.#getDeclaredShare(workspace);
    for (const { snapshot } of this.#listRetired(nowMilliseconds)) {
      const earlier = snapshot.findWorkspace(workspace.id);
      share = Math.max(share, earlier === undefined ? 0 : this.#getDeclaredShare(earlier));
    }
    return share;
  }

  /** Whether no VM may still act on another declaration of the workspace or another `vmLimit`. */
  isSettled(workspace: model.Workspace, nowMilliseconds: number): boolean {
    const first = this.#firstRecordedMilliseconds ?? nowMilliseconds;
    // A VM that has just started does not know the earlier declarations.
    if (nowMilliseconds - first < this.#getSettleMilliseconds()) {
      return false;
    }
    return this.#listRetired(nowMilliseconds).every(({ snapshot }) =>
      snapshot.findWorkspace(workspace.id) === workspace &&
      snapshot.fleet.vmLimit === this.#current?.fleet.vmLimit
    );
  }

  #getDeclaredShare(workspace: model.Workspace): number {
    return workspace.burst >= this.#policy.minimumBurst ? this.#policy.share : 0;
  }

  #getSettleMilliseconds(): number {
    return safety.getSettleMilliseconds(this.#current?.fleet.vmLimit ?? 1);
  }

  #listRetired(nowMilliseconds: number): readonly RetiredConfiguration[] {
    if (this.#retired.length > 0) {
      const oldest = nowMilliseconds - this.#getSettleMilliseconds();
      this.#retired = this.#retired.filter((retired) => retired.sinceMilliseconds > oldest);
    }
    return this.#retired;
  }
}
