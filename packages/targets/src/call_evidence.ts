/**
 * Turns the running and completed calls of this VM to one service into evidence, both for this VM's
 * own evaluator and for the digests to the coordinator.
 */

import * as fleet from "@hemlockwalk/fleet";
import * as kernel from "@hemlockwalk/kernel";
import type * as model from "@hemlockwalk/model";
import type * as exclusions from "./exclusion.ts";
import * as intervals from "./evidence_intervals.ts";
import * as evaluators from "./service_evaluator.ts";
import * as latencies from "./latency_buckets.ts";
import type * as messages from "./messages.ts";
import * as reporters from "./evidence_reporter.ts";
import type * as servicePools from "./service_pool.ts";
import type * as states from "./target_state.ts";
import type * as types from "./types.ts";

/** Evidence, in nats, that this VM requires to eject a target by its own calls alone. */
const LOCAL_NATS = 13;

/** Other targets, if there are as many, that must have been called since the first bad call. */
const LOCAL_MINIMUM_PEERS = 2;

/** A running call counts as broken when it exceeds the slow-call latency this many times. */
const STUCK_FACTOR = 3;
const MINIMUM_STUCK_MILLISECONDS = 300;

/** Used while there are too few latency samples of the service. */
const DEFAULT_STUCK_MILLISECONDS = 1_000;

/** A running call. */
export interface RunningCall {
  readonly declared: exclusions.DeclaredTarget;
  readonly state: states.TargetState;
  readonly route: types.ShortId;
  readonly startedAt: number;
  readonly trial: boolean;
  /** Whether it was reported as broken while it was still running. */
  stuck: boolean;
}

/** Collects evidence from the calls of one service. */
export class CallEvidence {
  readonly evaluator: evaluators.ServiceEvaluator;
  readonly #context: servicePools.ServicePoolContext;
  readonly #service: model.ServiceId;
  readonly #reporter: reporters.EvidenceReporter;
  readonly #running = new Set<RunningCall>();
  readonly #takeLoads: (nowMilliseconds: number) => messages.TargetLoad[];

  /** @param takeLoads Returns the average loads of the targets since its last call. */
  constructor(
    context: servicePools.ServicePoolContext,
    service: model.ServiceId,
    takeLoads: (nowMilliseconds: number) => messages.TargetLoad[],
    nowMilliseconds: number,
  ) {
    this.#context = context;
    this.#service = service;
    this.#takeLoads = takeLoads;
    this.evaluator = new evaluators.ServiceEvaluator(
      {
        nats: LOCAL_NATS,
        getMinimumSources: () => 1,
        minimumPeers: LOCAL_MINIMUM_PEERS,
        comparesDataCentres: () => false,
        enforceFloor: context.guards.floor,
      },
      context.metrics.createEvaluatorEvents("local", service),
    );
    // The first digests of the VMs are spread over the interval.
    const spread = fleet.hashText(`${context.self.vm} ${service}`) % 1_000 / 1_000;
    const interval = intervals.getDigestInterval(context.exchange?.members ?? 1);
    this.#reporter = new reporters.EvidenceReporter(service, nowMilliseconds - interval * spread);
  }

  /** Number of running calls. */
  get running(): number {
    return this.#running.size;
  }

  /** Starts to track a call, until its lease is released. */
  begin(call: RunningCall): types.TargetLease {
    call.state.begin(call.startedAt);
    this.#running.add(call);
    const release = (outcome: types.CallOutcome) => {
      if (this.#running.delete(call)) {
        this.#end(call, outcome, kernel.getMonotonicMilliseconds());
      }
    };
    return { target: call.declared.target, release };
  }

  /** Evaluates the targets by this VM's own calls. */
  evaluateTargets(nowMilliseconds: number): void {
    this.#reportStuckCalls(nowMilliseconds);
    if (this.#context.localFaults.hasLocalFault(nowMilliseconds)) {
      this.evaluator.returnAll("self_suspect");
    }
    this.evaluator.evaluate(nowMilliseconds);
  }

  /** Discards the collected evidence, such as after a pause. */
  discardEvidence(): void {
    this.#context.metrics.countDiscarded("pause", this.#reporter.discardPending());
    this.evaluator.discardEvidence();
  }

  /** Records a successful probe of a target that is out of use. */
  recordProbeSuccess(target: types.ShortId): void {
    this.evaluator.recordProbeSuccess(target);
    this.#reporter.addProbeSuccess(target);
  }

  /** Sends a digest when one is due. */
  sendDigest(nowMilliseconds: number): void {
    const { exchange, localFaults } = this.#context;
    if (exchange === undefined) {
      this.#reporter.discardPending();
      return;
    }
    const { members } = exchange;
    const due = this.#reporter.isDue(
      intervals.getDigestInterval(members),
      intervals.getUrgentInterval(members),
      nowMilliseconds,
    );
    if (due) {
      exchange.send(this.#reporter.takeDigest(
        localFaults.hasLocalFault(nowMilliseconds),
        this.#takeLoads(nowMilliseconds),
        exchange.getHandoverVerdicts(this.#service, nowMilliseconds),
        nowMilliseconds,
      ));
    }
  }

  /** Records how a call ended. */
  #end(call: RunningCall, outcome: types.CallOutcome, nowMilliseconds: number): void {
    const { metrics, pauses, detection } = this.#context;
    call.state.end(nowMilliseconds);
    metrics.calls.inc({ result: outcome.result });
    if (outcome.result === "success") {
      call.state.recordLatency(outcome.latencyMilliseconds, nowMilliseconds);
    }
    if (outcome.result === "shed") {
      call.state.recordShed(nowMilliseconds);
    }
    if (call.startedAt < (pauses?.lastResumeMilliseconds ?? Number.NEGATIVE_INFINITY)) {
      metrics.countDiscarded("pause", 1);
    } else if (detection && !call.stuck && outcome.result !== "cancelled") {
      const result = classifyOutcome(outcome.result);
      this.#recordEvidence(call, result, outcome.latencyMilliseconds, nowMilliseconds);
    }
    this.#context.onCapacity(this.#service);
  }

  /** Adds a call to this VM's own evidence and to the next digest. */
  #recordEvidence(
    call: RunningCall,
    result: reporters.CallKey["result"],
    latencyMilliseconds: number,
    nowMilliseconds: number,
  ): void {
    const { self, localFaults, metrics } = this.#context;
    const { target, shortId } = call.declared;
    const key: reporters.CallKey = {
      target: shortId,
      route: call.route,
      result,
      bucket: result === "answered" ? latencies.getBucket(latencyMilliseconds) : 0,
      trial: call.trial,
    };
    const reported = {
      ...key,
      vm: self.vm,
      dataCentre: self.dataCentre,
      count: 1,
      near: target.dataCentre === self.dataCentre,
    };
    const bad = (result !== "answered" && result !== "shed") ||
      this.evaluator.evidence.isSlow(reported);
    localFaults.recordCall(shortId, bad, nowMilliseconds);
    // During a local fault, this VM's bad calls are not evidence against their targets. The
    // coordinator still receives them, since it may find that other VMs are affected too.
    if (bad && localFaults.hasLocalFault(nowMilliseconds)) {
      metrics.countDiscarded("self_suspect", 1);
    } else {
      this.evaluator.report(reported, call.trial, nowMilliseconds);
    }
    // This VM may have too few samples to classify the call. The coordinator may have more, so the
    // call is reported without delay.
    const slowest = this.evaluator.evidence.getSlowestMilliseconds() ?? Infinity;
    const urgent = bad || call.trial || latencyMilliseconds > slowest;
    if (!this.#reporter.add(key, urgent, nowMilliseconds)) {
      metrics.countDiscarded("too_many_kinds", 1);
    }
    if (urgent) {
      this.sendDigest(nowMilliseconds);
    }
  }

  /** Counts running calls without a response for a long time as broken, before they end. */
  #reportStuckCalls(nowMilliseconds: number): void {
    const resumedAt = this.#context.pauses?.lastResumeMilliseconds ?? Number.NEGATIVE_INFINITY;
    for (const call of this.#running) {
      if (call.stuck || call.startedAt < resumedAt) {
        continue;
      }
      const age = nowMilliseconds - call.startedAt;
      if (age > this.#getStuckMilliseconds(call)) {
        call.stuck = true;
        this.#recordEvidence(call, "broken", age, nowMilliseconds);
      }
    }
  }

  #getStuckMilliseconds(call: RunningCall): number {
    const { evidence } = this.evaluator;
    const near = call.declared.target.dataCentre === this.#context.self.dataCentre;
    const slow = evidence.getSlowMilliseconds(call.route, near) ??
      evidence.getSlowestMilliseconds();
    return slow === undefined
      ? DEFAULT_STUCK_MILLISECONDS
      : Math.max(slow * STUCK_FACTOR, MINIMUM_STUCK_MILLISECONDS);
  }
}

function classifyOutcome(result: types.CallResult): reporters.CallKey["result"] {
  switch (result) {
    case "success":
      return "answered";
    case "shed":
      return "shed";
    case "server_error":
      return "failed";
    case "connect_failed":
    case "reset":
    case "truncated":
    case "timeout":
    case "cancelled":
      return "broken";
    default:
      return kernel.assertNever(result);
  }
}
