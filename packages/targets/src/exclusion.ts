/**
 * Selects the targets that this VM uses for a route: those that are not leaving, without the ones
 * that verdicts of the coordinator or of this VM put out of use, but never fewer than the floor.
 */

import type * as model from "@hemlockwalk/model";
import * as floors from "./floor.ts";
import * as evaluators from "./service_evaluator.ts";
import type * as types from "./types.ts";

/** A declared target with its short identifier. */
export interface DeclaredTarget {
  readonly target: model.Target;
  readonly shortId: types.ShortId;
}

/** The targets of one service, classified by the requests that may be sent to them. */
export interface TargetSelection {
  readonly inUse: readonly DeclaredTarget[];
  /** Neither leaving nor in use. */
  readonly out: ReadonlySet<types.ShortId>;
  /** Those out of use that may get a trial request from this VM. */
  readonly trials: readonly DeclaredTarget[];
  /** Number of verdicts that this VM does not follow because of the floor. */
  readonly refusedByFloor: number;
}

/** Input of the selection. */
export interface SelectionRequest {
  readonly declared: readonly DeclaredTarget[];
  /** The service's floor, from 0 to 1. */
  readonly floor: number;
  /** Verdicts of the coordinator, oldest first. */
  readonly verdicts: readonly types.Verdict[];
  /** Whether the coordinator allows this VM to send trial requests. */
  readonly mayTry: boolean;
  /** Verdicts from this VM's own calls, applied after the coordinator's. */
  readonly ownVerdicts: readonly types.Verdict[];
  readonly dataCentre: model.DataCentreId;
  readonly route: types.ShortId;
  /** Whether the floor is enforced. Only tests of this guard disable it. */
  readonly enforceFloor: boolean;
}

/** Selects the targets for requests of one route. */
export function selectTargets(request: SelectionRequest): TargetSelection {
  const allowance = request.enforceFloor
    ? floors.getAllowance(request.declared.map(({ target }) => target), request.floor)
    : request.declared.length;
  const staying = new Map<types.ShortId, DeclaredTarget>();
  for (const declared of request.declared) {
    if (!declared.target.leaving) {
      staying.set(declared.shortId, declared);
    }
  }
  const out = new Set<types.ShortId>();
  const withoutTrial = new Set<types.ShortId>();
  let refusedByFloor = 0;
  const apply = (verdict: types.Verdict, mayTry: boolean) => {
    if (
      !staying.has(verdict.target) ||
      !evaluators.covers(verdict.scope, request.dataCentre, request.route)
    ) {
      return;
    }
    if (!out.has(verdict.target) && out.size >= allowance) {
      refusedByFloor++;
      return;
    }
    out.add(verdict.target);
    if (verdict.state === "out" || !mayTry) {
      withoutTrial.add(verdict.target);
    }
  };
  for (const verdict of request.verdicts) {
    apply(verdict, request.mayTry);
  }
  for (const verdict of request.ownVerdicts) {
    apply(verdict, true);
  }
  const all = [...staying.values()];
  return {
    inUse: all.filter(({ shortId }) => !out.has(shortId)),
    out,
    trials: all.filter(({ shortId }) => out.has(shortId) && !withoutTrial.has(shortId)),
    refusedByFloor,
  };
}
