/**
 * Counters of the target pool.
 */

import type * as kernel from "@hemlockwalk/kernel";
import type * as model from "@hemlockwalk/model";
import type * as coordinators from "./coordinator.ts";
import type * as judges from "./service_evaluator.ts";
import type * as evidences from "./service_evidence.ts";
import type * as types from "./types.ts";

/** Who judges a target: the coordinator over all VMs, or this VM for itself. */
export type JudgeKind = "coordinator" | "local";

/** Finds the identifier of a target for the log. */
export type NameTarget = (service: model.ServiceId, target: types.ShortId) => string;

/** All counters of one VM's pool. */
export class PoolMetrics {
  readonly ejections;
  readonly returns;
  readonly trialFailures;
  readonly refusedByFloor;
  readonly voidEvidence;
  readonly verdictMessages;
  readonly verdictsExpired;
  readonly digests;
  readonly calls;
  readonly noSlot;
  readonly trialRequests;
  readonly probes;
  readonly #logger: kernel.PartLogger;
  readonly #nameTarget: NameTarget;

  constructor(metrics: kernel.Metrics, logger: kernel.PartLogger, nameTarget: NameTarget) {
    this.#logger = logger;
    this.#nameTarget = nameTarget;
    this.ejections = metrics.createCounter(
      "hemlockwalk_target_ejections_total",
      "Targets put out of use, by judge, kind of fault and scope.",
      ["judge", "kind", "scope"],
    );
    this.returns = metrics.createCounter(
      "hemlockwalk_target_returns_total",
      "Targets put back into use, by judge and reason.",
      ["judge", "reason"],
    );
    this.trialFailures = metrics.createCounter(
      "hemlockwalk_target_trial_failures_total",
      "Trials that lengthened an ejection, by judge.",
      ["judge"],
    );
    this.refusedByFloor = metrics.createCounter(
      "hemlockwalk_target_ejections_refused_total",
      "Ejections that the floor of the service did not allow, by judge.",
      ["judge"],
    );
    this.voidEvidence = metrics.createCounter(
      "hemlockwalk_target_evidence_void_total",
      "Calls that did not count as evidence, by reason.",
      ["reason"],
    );
    this.verdictMessages = metrics.createCounter(
      "hemlockwalk_target_verdict_messages_total",
      "Messages with verdicts, by what became of them.",
      ["result"],
    );
    this.verdictsExpired = metrics.createCounter(
      "hemlockwalk_target_verdicts_expired_total",
      "Verdicts that ended since their coordinator was not heard again in time.",
    );
    this.digests = metrics.createCounter(
      "hemlockwalk_target_digests_total",
      "Digests of evidence, by what became of them.",
      ["result"],
    );
    this.calls = metrics.createCounter(
      "hemlockwalk_target_calls_total",
      "Calls to targets, by how they ended.",
      ["result"],
    );
    this.noSlot = metrics.createCounter(
      "hemlockwalk_target_no_slot_total",
      "Requests for which no target had a free slot at first.",
    );
    this.trialRequests = metrics.createCounter(
      "hemlockwalk_target_trial_requests_total",
      "Requests that were sent to targets out of use, to try them.",
    );
    this.probes = metrics.createCounter(
      "hemlockwalk_target_probes_total",
      "Probes of targets out of use, by result.",
      ["result"],
    );
  }

  /** Counts what a judge does. */
  createJudgeEvents(judge: JudgeKind, service: model.ServiceId): judges.JudgeEvents {
    return {
      ejected: (finding) => {
        const { kind, evidence } = finding;
        const scope = getScopeLabel(finding);
        this.ejections.inc({ judge, kind, scope });
        this.#logger.warn("A target is ejected.", {
          judge,
          service,
          target: this.#nameTarget(service, finding.target),
          kind,
          scope,
          evidence: Math.round(evidence),
        });
      },
      returned: (target, reason) => {
        this.returns.inc({ judge, reason });
        const name = this.#nameTarget(service, target);
        this.#logger.info("A target is back in use.", { judge, service, target: name, reason });
      },
      trialFailed: () => this.trialFailures.inc({ judge }),
      refusedByFloor: (target) => {
        this.refusedByFloor.inc({ judge });
        const name = this.#nameTarget(service, target);
        this.#logger.warn("The floor keeps a sick target in use.", {
          judge,
          service,
          target: name,
        });
      },
    };
  }

  /** Counts evidence that is not used. */
  countVoid(reason: coordinators.VoidReason | "too_many_kinds", calls: number): void {
    this.voidEvidence.inc({ reason }, calls);
  }
}

function getScopeLabel(finding: evidences.Finding): string {
  const { dataCentre, route } = finding.scope;
  if (dataCentre !== undefined) {
    return route === undefined ? "data_centre" : "data_centre_and_route";
  }
  return route === undefined ? "target" : "route";
}
