/**
 * The targets of one service on one VM: choice, running requests, and what they show.
 */

import type * as configuration from "@hemlockwalk/configuration";
import * as fleet from "@hemlockwalk/fleet";
import * as kernel from "@hemlockwalk/kernel";
import type * as model from "@hemlockwalk/model";
import * as exclusions from "./exclusion.ts";
import type * as exchanges from "./evidence_exchange.ts";
import * as floors from "./floor.ts";
import * as intervals from "./evidence_intervals.ts";
import * as judges from "./service_judge.ts";
import * as latencies from "./latency_buckets.ts";
import * as messages from "./messages.ts";
import type * as poolMetrics from "./pool_metrics.ts";
import type * as pools from "./pool_options.ts";
import * as reporters from "./evidence_reporter.ts";
import type * as selfSuspicion from "./self_suspicion.ts";
import * as slotShares from "./slot_shares.ts";
import * as states from "./target_state.ts";
import * as subsets from "./target_subset.ts";
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

/** A slot of another VM may be borrowed while the target's reported load is below this share. */
const BORROW_UTILISATION = 0.75;

/** Shortest time between two trial requests of this VM to one target. */
const TRIAL_GAP_MILLISECONDS = 250;

/** A load below this is not reported. */
const LEAST_REPORTED_LOAD = 0.01;

/** What a service's pool needs from its VM. */
export interface ServicePoolContext {
  readonly self: fleet.VmIdentity;
  readonly strategy: types.ChoiceStrategy;
  readonly metrics: poolMetrics.PoolMetrics;
  readonly guards: pools.Guards;
  readonly detection: boolean;
  readonly suspicion: selfSuspicion.SelfSuspicion;
  readonly pauses: types.PauseSource | undefined;
  readonly exchange: exchanges.EvidenceExchange | undefined;
  readonly onCapacity: (service: model.ServiceId) => void;
}

interface RunningCall {
  readonly declared: exclusions.DeclaredTarget;
  readonly state: states.TargetState;
  readonly route: types.ShortId;
  readonly startedAt: number;
  readonly trial: boolean;
  /** Whether it was reported as broken while it ran. */
  stuck: boolean;
}

/** One service on one VM. */
export class ServicePool {
  readonly #context: ServicePoolContext;
  readonly #judge: judges.ServiceJudge;
  readonly #reporter: reporters.EvidenceReporter;
  readonly #states = new Map<types.ShortId, states.TargetState>();
  readonly #running = new Set<RunningCall>();
  readonly #triedAt = new Map<types.ShortId, number>();
  readonly #routes = new Map<model.RouteId, types.ShortId>();
  #service: model.Service;
  #allTargets: readonly model.Target[] = [];
  #declared: readonly exclusions.DeclaredTarget[] = [];
  #callLimit = 1;
  #ownSlots: ReadonlyMap<model.TargetId, number> = new Map();
  #dealtFor: readonly fleet.Member[] | undefined;
  #outBefore: ReadonlySet<types.ShortId> = new Set();

  constructor(context: ServicePoolContext, service: model.Service, nowMilliseconds: number) {
    this.#context = context;
    this.#service = service;
    this.#judge = new judges.ServiceJudge(
      {
        nats: LOCAL_NATS,
        getLeastSources: () => 1,
        leastPeers: LOCAL_LEAST_PEERS,
        separatesPaths: () => false,
        keepFloor: context.guards.floor,
      },
      context.metrics.createJudgeEvents("local", service.id),
    );
    // The first digests of the VMs are spread over the interval.
    const spread = fleet.hashText(`${context.self.vm} ${service.id}`) % 1_000 / 1_000;
    const interval = intervals.getDigestInterval(context.exchange?.members ?? 1);
    this.#reporter = new reporters.EvidenceReporter(
      service.id,
      nowMilliseconds - interval * spread,
    );
  }

  /** Takes over a new configuration. */
  update(
    service: model.Service,
    snapshot: configuration.Snapshot,
    first: boolean,
    nowMilliseconds: number,
  ): void {
    const { vmLimit } = snapshot.fleet;
    this.#service = service;
    this.#callLimit = Math.min(
      service.slots,
      subsets.getConnectionShare(service.connections, vmLimit),
    );
    this.#allTargets = snapshot.listTargets(service.id);
    const targets = subsets.selectSubset(
      this.#context.self.vm,
      this.#allTargets,
      service.connections,
      vmLimit,
    );
    this.#declared = targets.map((target) => ({
      target,
      shortId: messages.createShortId(target.id),
    }));
    const known = new Set(this.#declared.map(({ shortId }) => shortId));
    for (const shortId of [...this.#states.keys()]) {
      if (!known.has(shortId)) {
        this.#states.delete(shortId);
      }
    }
    for (const shortId of known) {
      if (!this.#states.has(shortId)) {
        this.#states.set(shortId, new states.TargetState(!first, nowMilliseconds));
      }
    }
    this.#dealtFor = undefined;
    this.#judge.declare(
      this.#declared.map(({ target, shortId }) => ({ target: shortId, leaving: target.leaving })),
      floors.getAllowance(targets, service.floor),
    );
  }

  /** A slot on a target; undefined while none is free. */
  tryAcquire(request: types.TargetRequest, nowMilliseconds: number): types.TargetLease | undefined {
    const route = this.#getRoute(request.route);
    const selection = this.select(route, nowMilliseconds);
    const trial = request.idempotent
      ? this.#chooseTrial(selection, request.exclude, nowMilliseconds)
      : undefined;
    if (trial !== undefined) {
      this.#triedAt.set(trial.shortId, nowMilliseconds);
      this.#context.metrics.trialRequests.inc();
      return this.#begin(trial, route, true, nowMilliseconds);
    }
    this.#dealSlots();
    const byTarget = new Map<types.Candidate, exclusions.DeclaredTarget>();
    for (const declared of selection.inUse) {
      const candidate = this.#createCandidate(declared, nowMilliseconds);
      if (!request.exclude.has(declared.target.id) && this.#hasSlot(candidate)) {
        byTarget.set(candidate, declared);
      }
    }
    const chosen = this.#context.strategy.choose(this.#service.id, [...byTarget.keys()]);
    const declared = chosen && byTarget.get(chosen);
    if (declared === undefined) {
      this.#context.metrics.noSlot.inc();
      return undefined;
    }
    return this.#begin(declared, route, false, nowMilliseconds);
  }

  /** Requests of this VM that run on targets of the service. */
  get running(): number {
    return this.#running.size;
  }

  /** Sorts the targets by what may be sent to them for a route. */
  select(route: types.ShortId, nowMilliseconds: number): exclusions.TargetSelection {
    const held = this.#context.exchange?.getCurrent(this.#service.id, nowMilliseconds);
    return exclusions.selectTargets({
      declared: this.#declared,
      floor: this.#service.floor,
      verdicts: held?.verdicts ?? [],
      mayTry: held?.mayTry ?? false,
      ownVerdicts: this.#judge.listVerdicts(nowMilliseconds),
      dataCentre: this.#context.self.dataCentre,
      route,
      keepFloor: this.#context.guards.floor,
    });
  }

  /** Takes over the loads that a coordinator reports. */
  noteLoads(loads: readonly messages.TargetLoad[]): void {
    const reported = new Map(loads.map(({ target, running }) => [target, running]));
    for (const [shortId, state] of this.#states) {
      state.reportedLoad = reported.get(shortId) ?? 0;
    }
  }

  /** Does what is due. */
  tick(nowMilliseconds: number): void {
    if (!this.#context.detection) {
      return;
    }
    this.#reportStuck(nowMilliseconds);
    if (this.#context.suspicion.isSuspect(nowMilliseconds)) {
      this.#judge.returnAll("self_suspect");
    }
    this.#judge.evaluate(nowMilliseconds);
    this.#noteReturns(nowMilliseconds);
    this.#sendDigest(nowMilliseconds);
  }

  /** Voids what was collected, such as after a pause. */
  voidEvidence(): void {
    this.#context.metrics.countVoid("pause", this.#reporter.voidPending());
    this.#judge.voidEvidence();
  }

  /** Targets out of use that no request may try yet, so that only a probe can tell something. */
  listProbed(nowMilliseconds: number): readonly exclusions.DeclaredTarget[] {
    const selection = this.select(NO_ROUTE, nowMilliseconds);
    return this.#declared.filter(({ shortId }) => selection.out.has(shortId));
  }

  /** Takes note that a probe of a target out of use succeeded. */
  noteProbeSuccess(target: types.ShortId): void {
    this.#judge.noteProbeSuccess(target);
    this.#reporter.addProbeSuccess(target);
  }

  /** Deals the slots again when the fleet or the targets have changed. */
  #dealSlots(): void {
    const { exchange, self } = this.#context;
    const members = exchange?.listMembers() ?? NO_MEMBERS;
    if (members === this.#dealtFor) {
      return;
    }
    this.#dealtFor = members;
    const staying = members.filter((member) => member.state !== "leaving");
    this.#ownSlots = slotShares.dealSlots(
      self.vm,
      staying.length > 0 ? staying : [self],
      this.#allTargets,
      this.#service.slots,
    );
  }

  /**
   * Whether a request may start on a target: in a slot of this VM, or in one of another VM while the
   * target is little loaded. A VM without any slot may always run one request.
   */
  #hasSlot(candidate: types.Candidate): boolean {
    if (candidate.running >= this.#callLimit) {
      return false;
    }
    if (candidate.running < (this.#ownSlots.get(candidate.target.id) ?? 0)) {
      return true;
    }
    const load = candidate.running + candidate.peerLoad + 1;
    return load <= Math.max(1, candidate.slots * BORROW_UTILISATION) ||
      (this.#ownSlots.size === 0 && this.#running.size === 0);
  }

  #chooseTrial(
    selection: exclusions.TargetSelection,
    exclude: ReadonlySet<model.TargetId>,
    nowMilliseconds: number,
  ): exclusions.DeclaredTarget | undefined {
    return selection.trials.find(({ target, shortId }) => {
      const triedAt = this.#triedAt.get(shortId) ?? Number.NEGATIVE_INFINITY;
      return !exclude.has(target.id) && this.#getState(shortId).running === 0 &&
        nowMilliseconds - triedAt >= TRIAL_GAP_MILLISECONDS;
    });
  }

  #createCandidate(
    { target, shortId }: exclusions.DeclaredTarget,
    nowMilliseconds: number,
  ): types.Candidate {
    const state = this.#getState(shortId);
    return {
      target,
      running: state.running,
      peerLoad: state.peerLoad,
      slots: this.#service.slots,
      latencyMilliseconds: state.getLatency(nowMilliseconds),
      readiness: state.getReadiness(nowMilliseconds),
      near: target.dataCentre === this.#context.self.dataCentre,
    };
  }

  #begin(
    declared: exclusions.DeclaredTarget,
    route: types.ShortId,
    trial: boolean,
    nowMilliseconds: number,
  ): types.TargetLease {
    const state = this.#getState(declared.shortId);
    const call: RunningCall = {
      declared,
      state,
      route,
      startedAt: nowMilliseconds,
      trial,
      stuck: false,
    };
    state.begin(nowMilliseconds);
    this.#running.add(call);
    const release = (outcome: types.CallOutcome) => {
      if (this.#running.delete(call)) {
        this.#end(call, outcome, kernel.getMonotonicMilliseconds());
      }
    };
    return { target: declared.target, release };
  }

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
    this.#context.onCapacity(this.#service.id);
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
      this.#judge.evidence.isSlow(reported);
    suspicion.note(shortId, bad, nowMilliseconds);
    // A VM that suspects itself gains nothing from its own bad calls. Others decide on its report.
    if (bad && suspicion.isSuspect(nowMilliseconds)) {
      metrics.countVoid("self_suspect", 1);
    } else {
      this.#judge.report(reported, call.trial, nowMilliseconds);
    }
    if (!this.#reporter.add(kind, bad || call.trial, nowMilliseconds)) {
      metrics.countVoid("too_many_kinds", 1);
    }
    if (bad || call.trial) {
      this.#sendDigest(nowMilliseconds);
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
    const { evidence } = this.#judge;
    const near = call.declared.target.dataCentre === this.#context.self.dataCentre;
    const slow = evidence.getSlowMilliseconds(call.route, near) ??
      evidence.getSlowestMilliseconds();
    return slow === undefined
      ? UNKNOWN_STUCK_MILLISECONDS
      : Math.max(slow * STUCK_FACTOR, LEAST_STUCK_MILLISECONDS);
  }

  /** Targets that came back into use get little at first. */
  #noteReturns(nowMilliseconds: number): void {
    const { out } = this.select(NO_ROUTE, nowMilliseconds);
    for (const shortId of this.#outBefore) {
      if (!out.has(shortId)) {
        this.#states.get(shortId)?.startRamp(nowMilliseconds);
      }
    }
    this.#outBefore = out;
  }

  #sendDigest(nowMilliseconds: number): void {
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
        exchange.getForeignVerdicts(this.#service.id, nowMilliseconds),
        nowMilliseconds,
      ));
    }
  }

  #takeLoads(nowMilliseconds: number): messages.TargetLoad[] {
    const loads: messages.TargetLoad[] = [];
    for (const [target, state] of this.#states) {
      const running = state.takeAverageLoad(nowMilliseconds);
      state.ownReportedLoad = running;
      if (running >= LEAST_REPORTED_LOAD) {
        loads.push({ target, running });
      }
    }
    return loads;
  }

  #getState(shortId: types.ShortId): states.TargetState {
    return kernel.getDefined(this.#states.get(shortId), "Each declared target has a state.");
  }

  #getRoute(id: model.RouteId): types.ShortId {
    let route = this.#routes.get(id);
    if (route === undefined) {
      route = messages.createShortId(id);
      this.#routes.set(id, route);
    }
    return route;
  }
}

const NO_MEMBERS: readonly fleet.Member[] = [];

/** Matches no route, so that only verdicts on whole targets apply. */
const NO_ROUTE = 0 as types.ShortId;

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
