/**
 * Tokens that this VM holds for its own requests, each with the moment at which it ends.
 */

import type * as model from "@hemlockwalk/model";
import type * as messages from "./messages.ts";
import type * as safety from "./safety_margins.ts";

/** Tokens that no request has used for this long go back. */
const RETURN_AFTER_MILLISECONDS = 600;

/** Time constant of the demand estimate. */
const DEMAND_MILLISECONDS = 1_000;

const FORGET_MILLISECONDS = 5_000;

interface HeldGrant {
  readonly coordinator: model.VmId;
  readonly grant: number;
  tokens: number;
  readonly receivedMilliseconds: number;
  readonly expiryMilliseconds: number;
}

/** What this VM holds and expects of one workspace. */
export class WorkspaceHolding {
  readonly grants: HeldGrant[] = [];
  /** Requests are refused at once until then, since the coordinator had no token. */
  dryUntilMilliseconds = 0;
  asking = false;
  #demand = 0;
  #updatedMilliseconds = Number.NEGATIVE_INFINITY;

  /** Counts one arrival. */
  addArrival(nowMilliseconds: number): void {
    this.#demand = this.#decay(nowMilliseconds) + 1;
    this.#updatedMilliseconds = nowMilliseconds;
  }

  /** Expected arrivals in the given time. */
  getExpectedArrivals(milliseconds: number, nowMilliseconds: number): number {
    return this.#decay(nowMilliseconds) * milliseconds / DEMAND_MILLISECONDS;
  }

  /** Tokens that may be spent now. */
  countTokens(): number {
    let tokens = 0;
    for (const grant of this.grants) {
      tokens += grant.tokens;
    }
    return tokens;
  }

  /** Whether nothing would be lost by forgetting the workspace. */
  isIdle(nowMilliseconds: number): boolean {
    const quiet = nowMilliseconds - this.#updatedMilliseconds > FORGET_MILLISECONDS;
    return quiet && this.grants.length === 0 && !this.asking;
  }

  #decay(nowMilliseconds: number): number {
    const elapsed = nowMilliseconds - this.#updatedMilliseconds;
    return this.#demand * Math.exp(-elapsed / DEMAND_MILLISECONDS);
  }
}

/** Unused tokens for one coordinator. */
export interface ReturnBatch {
  readonly coordinator: model.VmId;
  readonly returns: messages.Returned[];
}

/** Called with the coordinator that gave a grant and the end of the grant. */
export type SpentListener = (coordinator: model.VmId, end: messages.Returned) => void;

/** The holdings of one VM, created when a workspace is active and forgotten when it is not. */
export class GrantHolder {
  readonly #margins: safety.SafetyMargins;
  readonly #holdings = new Map<model.WorkspaceId, WorkspaceHolding>();
  readonly #onExpired: (tokens: number) => void;
  readonly #onSpent: SpentListener;

  /**
   * @param onExpired Called with the number of tokens that ended unused.
   * @param onSpent Called when the last token of a grant was spent.
   */
  constructor(
    margins: safety.SafetyMargins,
    onExpired: (tokens: number) => void,
    onSpent: SpentListener,
  ) {
    this.#margins = margins;
    this.#onExpired = onExpired;
    this.#onSpent = onSpent;
  }

  get size(): number {
    return this.#holdings.size;
  }

  /** The holding of a workspace, created if need be. */
  get(workspace: model.WorkspaceId): WorkspaceHolding {
    let holding = this.#holdings.get(workspace);
    if (holding === undefined) {
      holding = new WorkspaceHolding();
      this.#holdings.set(workspace, holding);
    }
    return holding;
  }

  /** Spends a token if one is held whose time is not over at this very moment. */
  tryTake(
    workspace: model.WorkspaceId,
    holding: WorkspaceHolding,
    nowMilliseconds: number,
  ): boolean {
    this.#dropExpired(holding, nowMilliseconds);
    const grant = holding.grants[0];
    if (grant === undefined) {
      return false;
    }
    grant.tokens--;
    if (grant.tokens === 0) {
      holding.grants.shift();
      this.#onSpent(grant.coordinator, { workspace, grant: grant.grant, tokens: 0 });
    }
    return true;
  }

  /** Adds tokens that were asked for at the given time. */
  add(
    holding: WorkspaceHolding,
    coordinator: model.VmId,
    grant: messages.Grant,
    expiryMilliseconds: number,
    nowMilliseconds: number,
  ): void {
    if (grant.tokens > 0) {
      holding.grants.push({
        coordinator,
        grant: grant.grant,
        tokens: grant.tokens,
        receivedMilliseconds: nowMilliseconds,
        expiryMilliseconds,
      });
    }
  }

  /** Removes tokens that nobody needed and lists them by coordinator, and forgets idle holdings. */
  collectReturns(nowMilliseconds: number, all: boolean): ReturnBatch[] {
    const batches = new Map<model.VmId, ReturnBatch>();
    for (const [workspace, holding] of this.#holdings) {
      this.#dropExpired(holding, nowMilliseconds);
      this.#collect(workspace, holding, batches, nowMilliseconds, all);
      if (holding.isIdle(nowMilliseconds)) {
        this.#holdings.delete(workspace);
      }
    }
    return [...batches.values()];
  }

  #collect(
    workspace: model.WorkspaceId,
    holding: WorkspaceHolding,
    batches: Map<model.VmId, ReturnBatch>,
    nowMilliseconds: number,
    all: boolean,
  ): void {
    for (const grant of [...holding.grants]) {
      const age = nowMilliseconds - grant.receivedMilliseconds;
      if (!all && age < RETURN_AFTER_MILLISECONDS) {
        continue;
      }
      if (this.#margins.deductionBeforeSending) {
        holding.grants.splice(holding.grants.indexOf(grant), 1);
      }
      const batch = batches.get(grant.coordinator) ??
        { coordinator: grant.coordinator, returns: [] };
      batch.returns.push({ workspace, grant: grant.grant, tokens: grant.tokens });
      batches.set(grant.coordinator, batch);
    }
  }

  #dropExpired(holding: WorkspaceHolding, nowMilliseconds: number): void {
    if (!this.#margins.grantExpiry) {
      return;
    }
    for (const grant of [...holding.grants]) {
      if (grant.expiryMilliseconds <= nowMilliseconds) {
        holding.grants.splice(holding.grants.indexOf(grant), 1);
        this.#onExpired(grant.tokens);
      }
    }
  }
}
