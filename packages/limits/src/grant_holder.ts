/**
 * Tokens granted to this VM for its own requests. Each grant has an expiry.
 */

import type * as model from "@hemlockwalk/model";
import type * as messages from "./messages.ts";
import type * as safety from "./safety_margins.ts";

/** Tokens that no request has used for this long are returned to the coordinator. */
const RETURN_AFTER_MILLISECONDS = 600;

/** Time constant of the demand estimate. */
const DEMAND_TIME_CONSTANT_MILLISECONDS = 1_000;

const HOLDING_RETENTION_MILLISECONDS = 5_000;

interface HeldGrant {
  readonly coordinator: model.VmId;
  readonly grant: number;
  tokens: number;
  readonly receivedMilliseconds: number;
  readonly expiryMilliseconds: number;
}

/** The grants that this VM holds for one workspace, and its estimate of the demand. */
export class WorkspaceHolding {
  readonly grants: HeldGrant[] = [];
  /** Until then, requests are refused without a request to the coordinator, which had no token. */
  refusedUntilMilliseconds = 0;
  isRequestPending = false;
  #demand = 0;
  #updatedMilliseconds = Number.NEGATIVE_INFINITY;

  /** Counts one arrival. */
  addArrival(nowMilliseconds: number): void {
    this.#demand = this.#decay(nowMilliseconds) + 1;
    this.#updatedMilliseconds = nowMilliseconds;
  }

  /** Expected arrivals in the given time. */
  getExpectedArrivals(milliseconds: number, nowMilliseconds: number): number {
    return this.#decay(nowMilliseconds) * milliseconds / DEMAND_TIME_CONSTANT_MILLISECONDS;
  }

  /** Tokens that may be spent now. */
  countTokens(): number {
    let tokens = 0;
    for (const grant of this.grants) {
      tokens += grant.tokens;
    }
    return tokens;
  }

  /** Whether the holding can be removed without loss. */
  isIdle(nowMilliseconds: number): boolean {
    const isUnused = nowMilliseconds - this.#updatedMilliseconds > HOLDING_RETENTION_MILLISECONDS;
    return isUnused && this.grants.length === 0 && !this.isRequestPending;
  }

  #decay(nowMilliseconds: number): number {
    const elapsed = nowMilliseconds - this.#updatedMilliseconds;
    return this.#demand * Math.exp(-elapsed / DEMAND_TIME_CONSTANT_MILLISECONDS);
  }
}

/** Unused tokens to return to one coordinator. */
export interface ReturnBatch {
  readonly coordinator: model.VmId;
  readonly returns: messages.GrantReturn[];
}

/** Called with the coordinator that issued a grant and the end of the grant. */
export type SpentListener = (coordinator: model.VmId, end: messages.GrantReturn) => void;

/** The holdings of one VM: created when a workspace becomes active, removed when it is idle. */
export class GrantHolder {
  readonly #margins: safety.SafetyMargins;
  readonly #holdings = new Map<model.WorkspaceId, WorkspaceHolding>();
  readonly #onExpired: (tokens: number) => void;
  readonly #onSpent: SpentListener;

  /**
   * @param onExpired Called with the number of tokens that expired unused.
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

  /** The holding of a workspace, which is created if it does not exist. */
  get(workspace: model.WorkspaceId): WorkspaceHolding {
    let holding = this.#holdings.get(workspace);
    if (holding === undefined) {
      holding = new WorkspaceHolding();
      this.#holdings.set(workspace, holding);
    }
    return holding;
  }

  /** Spends a token of a grant that has not expired. Returns false if there is none. */
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

  /** Adds the tokens of a grant. */
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

  /**
   * Removes and returns the tokens that were not used in time, or all tokens, by coordinator. Also
   * removes idle holdings.
   */
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
