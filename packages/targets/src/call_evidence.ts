/**
 * What the running and ended calls of this VM to one service show: evidence for this VM's own judge, and
 * for the digests to the coordinator.
 */

import * as fleet from "@hemlockwalk/fleet";
import * as kernel from "@hemlockwalk/kernel";
import type * as model from "@hemlockwalk/model";
import type * as exclusions from "./exclusion.ts";
import * as intervals from "./evidence_intervals.ts";
import * as judges from "./service_evaluator.ts";
import * as latencies from "./latency_buckets.ts";
import type * as messages from "./messages.ts";
import * as reporters from "./evidence_reporter.ts";
import type * as servicePools from "./service_pool.ts";
import type * as states from "./target_state.ts";
import type * as types from "./types.ts";

/** Evidence, in nats, for this VM's own avoidance of a target. */
const LOCAL_NATS = 13;

/** Other targets that must have been called since a target's first bad call, where there are any. */
const LOCAL_LEAST_PEERS = 2;

/** A running request counts as broken above this multiple of the latency that is slow once answered. */
const STUCK_FACTOR = 3;
const LEAST_STUCK_MILLISECONDS = 300;

/** Used while no latency of the service is known. */
const UNKNOWN_STUCK_MILLISECONDS = 1_000;

/** A call that runs. */
export interface RunningCall {
  readonly declared: exclusions.DeclaredTarget;
  readonly state: states.TargetState;
  readonly route: types.ShortId;
  readonly startedAt: number;
  readonly trial: boolean;
  /** Whether it was reported as broken while it ran. */
  stuck: boolean;
}

/** Observes the calls of one service. */
export class CallEvidence {
  readonly judge: judges.ServiceJudge;
  readonly #context: servicePools.ServicePoolContext;
  readonly #service: model.ServiceId;
  readonly #reporter: reporters.EvidenceReporter;
  readonly #running = new Set<RunningCall>();
  readonly #takeLoads: (nowMilliseconds: number) => messages.TargetLoad[];

  /** @param takeLoads Tells the loads of the targets since it was last called. */
  constructor(
    context: servicePools.ServicePoolContext,
    service: model.ServiceId,
    takeLoads: (nowMilliseconds: number) => messages.TargetLoad[],
    nowMilliseconds: number,
  ) {
    this.#context = context;
    this.#service = service;
    this.#takeLoads = takeLoads;
    this.judge = new judges.ServiceJudge(
      {
        nats: LOCAL_NATS,
        getLeastSources: () => 1,
        leastPeers: LOCAL_LEAST_PEERS,
        separatesPaths: () => false,
        keepFloor: context.guards.floor,
      },
      context.metrics.createJudgeEvents("local", service),
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

  /** Observes a call from now on, until its lease is released. */
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

  /** Judges the targets by this VM's own calls. */
  judgeTargets(nowMilliseconds: number): void {
    this.#reportStuck(nowMilliseconds);
    if (this.#context.suspicion.isSuspect(nowMilliseconds)) {
      this.judge.returnAll("self_suspect");
    }
    this.judge.evaluate(nowMilliseconds);
  }

  /** Voids what was collected, such as after a pause. */
  voidEvidence(): void {
    this.#context.metrics.countVoid("pause", this.#reporter.voidPending());
    this.judge.voidEvidence();
  }

  /** Takes note that a probe of a target out of use succeeded. */
  noteProbeSuccess(target: types.ShortId): void {
    this.judge.noteProbeSuccess(target);
    this.#reporter.addProbeSuccess(target);
  }

  /** Sends a digest when one is due. */
  sendDigest(nowMilliseconds: number): void {
    const { exchange, suspicion } = this.#context;
    if (exchange === undefined) {
      this.#reporter.voidPending();
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
        suspicion.isSuspect(nowMilliseconds),
        this.#takeLoads(nowMilliseconds),
        exchange.getForeignVerdicts(this.#service, nowMilliseconds),
        nowMilliseconds,
      ));
    }
  }

  /** Takes note of how a call ended. */
  #end(call: RunningCall, outcome: types.CallOutcome, nowMilliseconds: number): void {
    const { metrics, pauses, detection } = this.#context;
    call.state.end(nowMilliseconds);
    metrics.calls.inc({ result: outcome.result });
    if (outcome.result === "success") {
      call.state.noteLatency(outcome.latencyMilliseconds, nowMilliseconds);
    }
    if (outcome.result === "shed") {
      call.state.noteShed(nowMilliseconds);
    }
    if (call.startedAt < (pauses?.lastResumeMilliseconds ?? Number.NEGATIVE_INFINITY)) {
      metrics.countVoid("pause", 1);
    } else if (detection && !call.stuck && outcome.result !== "cancelled") {
      const result = classifyOutcome(outcome.result);
      this.#note(call, result, outcome.latencyMilliseconds, nowMilliseconds);
    }
    this.#context.onCapacity(this.#service);
  }

  /** Counts a call as evidence here, and adds it to the next digest. */
  #note(
    call: RunningCall,
    result: reporters.CallKind["result"],
    latencyMilliseconds: number,
    nowMilliseconds: number,
  ): void {
    const { self, suspicion, metrics } = this.#context;
    const { target, shortId } = call.declared;
    const kind: reporters.CallKind = {
      target: shortId,
      route: call.route,
      result,
      bucket: result === "answered" ? latencies.getBucket(latencyMilliseconds) : 0,
      trial: call.trial,
    };
    const reported = {
      ...kind,
      vm: self.vm,
      dataCentre: self.dataCentre,
      count: 1,
      near: target.dataCentre === self.dataCentre,
    };
    const bad = (result !== "answered" && result !== "shed") ||
      this.judge.evidence.isSlow(reported);
    suspicion.note(shortId, bad, nowMilliseconds);
    // A VM that suspects itself gains nothing from its own bad calls. Others decide on its report.
    if (bad && suspicion.isSuspect(nowMilliseconds)) {
      metrics.countVoid("self_suspect", 1);
    } else {
      this.judge.report(reported, call.trial, nowMilliseconds);
    }
    // Where this VM knows too little of the route to tell, the coordinator may know better.
    const slowest = this.judge.evidence.getSlowestMilliseconds() ?? Infinity;
    const urgent = bad || call.trial || latencyMilliseconds > slowest;
    if (!this.#reporter.add(kind, urgent, nowMilliseconds)) {
      metrics.countVoid("too_many_kinds", 1);
    }
    if (urgent) {
      this.sendDigest(nowMilliseconds);
    }
  }

  /** A call without an answer for long says as much as one that ended badly, and says it sooner. */
  #reportStuck(nowMilliseconds: number): void {
    const resumedAt = this.#context.pauses?.lastResumeMilliseconds ?? Number.NEGATIVE_INFINITY;
    for (const call of this.#running) {
      if (call.stuck || call.startedAt < resumedAt) {
        continue;
      }
      const age = nowMilliseconds - call.startedAt;
      if (age > this.#getStuckMilliseconds(call)) {
        call.stuck = true;
        this.#note(call, "broken", age, nowMilliseconds);
      }
    }
  }

  #getStuckMilliseconds(call: RunningCall): number {
    const { evidence } = this.judge;
    const near = call.declared.target.dataCentre === this.#context.self.dataCentre;
    const slow = evidence.getSlowMilliseconds(call.route, near) ??
      evidence.getSlowestMilliseconds();
    return slow === undefined
      ? UNKNOWN_STUCK_MILLISECONDS
      : Math.max(slow * STUCK_FACTOR, LEAST_STUCK_MILLISECONDS);
  }
}

function classifyOutcome(result: types.CallResult): reporters.CallKind["result"] {
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
