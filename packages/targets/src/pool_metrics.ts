/**
 * Counters and log lines of the target pool.
 */

import type * as kernel from "@hemlockwalk/kernel";
import type * as model from "@hemlockwalk/model";
import type * as coordinators from "./coordinator.ts";
import type * as evaluators from "./service_evaluator.ts";
import type * as serviceEvidence from "./service_evidence.ts";
import type * as types from "./types.ts";

/** Whose evaluator it is: the coordinator's, for all VMs, or this VM's own. */
export type EvaluatorKind = "coordinator" | "local";

/** Returns the identifier of a target for the log. */
export type GetTargetName = (service: model.ServiceId, target: types.ShortId) => string;

/** All counters of one VM's pool. */
export class PoolMetrics {
  readonly ejections;
  readonly returns;
  readonly trialFailures;
  readonly refusedByFloor;
  readonly discardedEvidence;
  readonly verdictMessages;
  readonly verdictsExpired;
  readonly digests;
  readonly calls;
  readonly noSlot;
  readonly trialRequests;
  readonly probes;
  readonly #logger: kernel.ComponentLogger;
  readonly #getTargetName: GetTargetName;

  constructor(
    metrics: kernel.Metrics,
    logger: kernel.ComponentLogger,
    getTargetName: GetTargetName,
  ) {
    this.#logger = logger;
    this.#getTargetName = getTargetName;
    this.ejections = metrics.createCounter(
      "hemlockwalk_target_ejections_total",
      "Ejections of targets, by judge, kind of fault and scope.",
      ["judge", "kind", "scope"],
    );
    this.returns = metrics.createCounter(
      "hemlockwalk_target_returns_total",
      "Returns of ejected targets into use, by judge and reason.",
      ["judge", "reason"],
    );
    this.trialFailures = metrics.createCounter(
      "hemlockwalk_target_trial_failures_total",
      "Failed trials, each of which prolonged an ejection, by judge.",
      ["judge"],
    );
    this.refusedByFloor = metrics.createCounter(
      "hemlockwalk_target_ejections_refused_total",
      "Ejections that the floor of the service did not allow, by judge.",
      ["judge"],
    );
    this.discardedEvidence = metrics.createCounter(
      "hemlockwalk_target_evidence_void_total",
      "Calls that did not count as evidence, by reason.",
      ["reason"],
    );
    this.verdictMessages = metrics.createCounter(
      "hemlockwalk_target_verdict_messages_total",
      "Messages with verdicts, by result.",
      ["result"],
    );
    this.verdictsExpired = metrics.createCounter(
      "hemlockwalk_target_verdicts_expired_total",
      "Verdicts that expired because their coordinator did not renew them in time.",
    );
    this.digests = metrics.createCounter(
      "hemlockwalk_target_digests_total",
      "Digests of evidence, by result.",
      ["result"],
    );
    this.calls = metrics.createCounter(
      "hemlockwalk_target_calls_total",
      "Calls to targets, by result.",
      ["result"],
    );
    this.noSlot = metrics.createCounter(
      "hemlockwalk_target_no_slot_total",
      "Attempts to acquire a slot on a target that found no free one.",
    );
    this.trialRequests = metrics.createCounter(
      "hemlockwalk_target_trial_requests_total",
      "Trial requests sent to targets that are out of use.",
    );
    this.probes = metrics.createCounter(
      "hemlockwalk_target_probes_total",
      "Probes of targets out of use, by result.",
      ["result"],
    );
  }

  /** Creates events that count and log what an evaluator does. */
  createEvaluatorEvents(
    evaluator: EvaluatorKind,
    service: model.ServiceId,
  ): evaluators.EvaluatorEvents {
    return {
      ejected: (finding) => {
        const { kind, evidence } = finding;
        const scope = getScopeLabel(finding);
        this.ejections.inc({ judge: evaluator, kind, scope });
        this.#logger.warn("A target is ejected.", {
          judge: evaluator,
          service,
          target: this.#getTargetName(service, finding.target),
          kind,
          scope,
          evidence: Math.round(evidence),
        });
      },
      returned: (target, reason) => {
        this.returns.inc({ judge: evaluator, reason });
        const name = this.#getTargetName(service, target);
        this.#logger.info("A target is back in use.", {
          judge: evaluator,
          service,
          target: name,
          reason,
        });
      },
      trialFailed: () => this.trialFailures.inc({ judge: evaluator }),
      refusedByFloor: (target) => {
        this.refusedByFloor.inc({ judge: evaluator });
        const name = this.#getTargetName(service, target);
        this.#logger.warn("A failing target stays in use because of the floor.", {
          judge: evaluator,
          service,
          target: name,
        });
      },
    };
  }

  /** Counts calls that are discarded as evidence. */
  countDiscarded(reason: coordinators.DiscardReason | "too_many_kinds", calls: number): void {
    this.discardedEvidence.inc({ reason }, calls);
  }
}

function getScopeLabel(finding: serviceEvidence.Finding): string {
  const { dataCentre, route } = finding.scope;
  if (dataCentre !== undefined) {
    return route === undefined ? "data_centre" : "data_centre_and_route";
  }
  return route === undefined ? "target" : "route";
}
