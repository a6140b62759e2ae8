/**
 * How much of a workspace's rate and burst is reserved, split over all VMs by right.
 *
 * Only a large burst leaves whole tokens to a part of the fleet that is cut off; for a small one the
 * reserved part would be lost in calm and of no use in a partition.
 */

import type * as configuration from "@hemlockwalk/configuration";
import type * as model from "@hemlockwalk/model";
import * as safety from "./safety_margins.ts";

/** Which part of which workspaces is reserved. */
export interface ReservedPolicy {
  /** Share (0 to 1) of rate and burst. */
  readonly share: number;
  /** Workspaces with a smaller burst have no reserved part. */
  readonly minimumBurst: number;
}

/** The policy in production. */
export const RESERVED_POLICY: ReservedPolicy = { share: 0.2, minimumBurst: 200 };

interface Retired {
  readonly snapshot: configuration.Snapshot;
  readonly sinceMilliseconds: number;
}

/** The configurations that some VM of the fleet may still act on. */
export class RecentConfigurations {
  readonly #policy: ReservedPolicy;
  #current: configuration.Snapshot | undefined;
  #sinceMilliseconds = Number.NEGATIVE_INFINITY;
  #firstMilliseconds: number | undefined;
  #retired: Retired[] = [];

  constructor(policy: ReservedPolicy) {
    this.#policy = policy;
  }

  get current(): configuration.Snapshot | undefined {
    return this.#current;
  }

  /** When the current configuration came into force here. */
  get sinceMilliseconds(): number {
    return this.#sinceMilliseconds;
  }

  /** When all VMs that follow their configuration go by the current one. */
  get settledMilliseconds(): number {
    return this.#sinceMilliseconds + this.#getSettleMilliseconds();
  }

  /** Takes note of the configuration in force. */
  note(snapshot: configuration.Snapshot | undefined, nowMilliseconds: number): void {
    if (snapshot === this.#current) {
      return;
    }
    this.#firstMilliseconds ??= nowMilliseconds;
    if (this.#current !== undefined) {
      this.#retired.push({ snapshot: this.#current, sinceMilliseconds: nowMilliseconds });
    }
    this.#current = snapshot;
    this.#sinceMilliseconds = nowMilliseconds;
  }

  /** Reserved share of a workspace: the highest by which some VM may still go. */
  getShare(workspace: model.Workspace, nowMilliseconds: number): number {
    let share = this.#getDeclaredShare(workspace);
    for (const { snapshot } of this.#listRetired(nowMilliseconds)) {
      const earlier = snapshot.findWorkspace(workspace.id);
      share = Math.max(share, earlier === undefined ? 0 : this.#getDeclaredShare(earlier));
    }
    return share;
  }

  /** Whether no VM may still go by another declaration of the workspace or of the fleet. */
  isSettled(workspace: model.Workspace, nowMilliseconds: number): boolean {
    const first = this.#firstMilliseconds ?? nowMilliseconds;
    // A VM that has just started does not know what was declared before.
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

  #listRetired(nowMilliseconds: number): readonly Retired[] {
    if (this.#retired.length > 0) {
      const oldest = nowMilliseconds - this.#getSettleMilliseconds();
      this.#retired = this.#retired.filter((retired) => retired.sinceMilliseconds > oldest);
    }
    return this.#retired;
  }
}
