/**
 * The pool of one service on one VM: chooses targets, tracks running requests and collects
 * evidence.
 */

import type * as configuration from "@hemlockwalk/configuration";
import type * as fleet from "@hemlockwalk/fleet";
import * as kernel from "@hemlockwalk/kernel";
import type * as model from "@hemlockwalk/model";
import * as callEvidence from "./call_evidence.ts";
import * as exclusions from "./exclusion.ts";
import type * as exchanges from "./evidence_exchange.ts";
import * as floors from "./floor.ts";
import * as intervals from "./evidence_intervals.ts";
import * as messages from "./messages.ts";
import type * as poolMetrics from "./pool_metrics.ts";
import type * as poolOptions from "./pool_options.ts";
import type * as detectors from "./local_fault_detector.ts";
import * as slotAdmissions from "./slot_admission.ts";
import * as states from "./target_state.ts";
import * as subsets from "./target_subset.ts";
import type * as types from "./types.ts";

/** Shortest time between two trial requests of this VM to one target. */
const TRIAL_GAP_MILLISECONDS = 250;

/** A lower load is not reported. */
const MINIMUM_REPORTED_LOAD = 0.01;

/** Services and options that the pools of a VM share. */
export interface ServicePoolContext {
  readonly self: fleet.VmIdentity;
  readonly strategy: types.ChoiceStrategy;
  readonly metrics: poolMetrics.PoolMetrics;
  readonly guards: poolOptions.Guards;
  readonly detection: boolean;
  readonly localFaults: detectors.LocalFaultDetector;
  readonly pauses: types.PauseSource | undefined;
  readonly exchange: exchanges.EvidenceExchange | undefined;
  readonly onCapacity: (service: model.ServiceId) => void;
}

/** The target pool of one service. */
export class ServicePool {
  readonly #context: ServicePoolContext;
  readonly #slots: slotAdmissions.SlotAdmission;
  readonly #calls: callEvidence.CallEvidence;
  readonly #states = new Map<types.ShortId, states.TargetState>();
  readonly #lastTrialAt = new Map<types.ShortId, number>();
  readonly #routes = new Map<model.RouteId, types.ShortId>();
  #service: model.Service;
  #declared: readonly exclusions.DeclaredTarget[] = [];
  #loadsValidUntil = Number.NEGATIVE_INFINITY;
  #previouslyOut: ReadonlySet<types.ShortId> = new Set();

  constructor(context: ServicePoolContext, service: model.Service, nowMilliseconds: number) {
    this.#context = context;
    this.#service = service;
    this.#slots = new slotAdmissions.SlotAdmission(context.self);
    this.#calls = new callEvidence.CallEvidence(
      context,
      service.id,
      (now) => this.#takeLoads(now),
      nowMilliseconds,
    );
  }

  /** Applies a new configuration. */
  update(
    service: model.Service,
    snapshot: configuration.Snapshot,
    isInitial: boolean,
    nowMilliseconds: number,
  ): void {
    const { vmLimit } = snapshot.fleet;
    this.#service = service;
    const allTargets = snapshot.listTargets(service.id);
    const share = subsets.getConnectionShare(service.connections, vmLimit);
    this.#slots.setTargets(allTargets, service.slots, Math.min(service.slots, share));
    const targets = subsets.selectSubset(
      this.#context.self.vm,
      allTargets,
      service.connections,
      vmLimit,
    );
    this.#declared = targets.map((target) => ({
      target,
      shortId: messages.createShortId(target.id),
    }));
    const declaredIds = new Set(this.#declared.map(({ shortId }) => shortId));
    for (const shortId of [...this.#states.keys()]) {
      if (!declaredIds.has(shortId)) {
        this.#states.delete(shortId);
        this.#lastTrialAt.delete(shortId);
      }
    }
    for (const shortId of declaredIds) {
      if (!this.#states.has(shortId)) {
        this.#states.set(shortId, new states.TargetState(!isInitial, nowMilliseconds));
      }
    }
    this.#calls.evaluator.setTargets(
      this.#declared.map(({ target, shortId }) => ({ target: shortId, leaving: target.leaving })),
      floors.getAllowance(targets, service.floor),
    );
  }

  /** Acquires a slot on a target; undefined while none is free. */
  tryAcquire(request: types.TargetRequest, nowMilliseconds: number): types.TargetLease | undefined {
    const route = this.#getRoute(request.route);
    const selection = this.select(route, nowMilliseconds);
    const trial = request.idempotent
      ? this.#chooseTrial(selection, request.exclude, nowMilliseconds)
      : undefined;
    if (trial !== undefined) {
      this.#lastTrialAt.set(trial.shortId, nowMilliseconds);
      this.#context.metrics.trialRequests.inc();
      return this.#begin(trial, route, true, nowMilliseconds);
    }
    this.#slots.updateAllocation(this.#context.exchange?.listMembers() ?? NO_MEMBERS);
    const byCandidate = new Map<types.Candidate, exclusions.DeclaredTarget>();
    for (const declared of selection.inUse) {
      const candidate = this.#createCandidate(declared, nowMilliseconds);
      if (
        !request.exclude.has(declared.target.id) &&
        this.#slots.hasSlot(candidate, this.#calls.running)
      ) {
        byCandidate.set(candidate, declared);
      }
    }
    const chosen = this.#context.strategy.choose(this.#service.id, [...byCandidate.keys()]);
    const declared = chosen && byCandidate.get(chosen);
    if (declared === undefined) {
      this.#context.metrics.noSlot.inc();
      return undefined;
    }
    return this.#begin(declared, route, false, nowMilliseconds);
  }

  /** Requests of this VM that run on targets of the service. */
  get running(): number {
    return this.#calls.running;
  }

  /** Classifies the targets by the requests of a route that may be sent to them. */
  select(route: types.ShortId, nowMilliseconds: number): exclusions.TargetSelection {
    const held = this.#context.exchange?.getCurrent(this.#service.id, nowMilliseconds);
    return exclusions.selectTargets({
      declared: this.#declared,
      floor: this.#service.floor,
      verdicts: held?.verdicts ?? [],
      mayTry: held?.mayTry ?? false,
      ownVerdicts: this.#calls.evaluator.listVerdicts(nowMilliseconds),
      dataCentre: this.#context.self.dataCentre,
      route,
      enforceFloor: this.#context.guards.floor,
    });
  }

  /** Applies the loads reported by a coordinator. */
  applyLoads(loads: readonly messages.TargetLoad[], nowMilliseconds: number): void {
    const members = this.#context.exchange?.members ?? 1;
    this.#loadsValidUntil = nowMilliseconds + intervals.getVerdictLifetime(members);
    const reported = new Map(loads.map(({ target, running }) => [target, running]));
    for (const [shortId, state] of this.#states) {
      state.reportedLoad = reported.get(shortId) ?? 0;
    }
    // Queued requests may now be able to borrow slots.
    this.#context.onCapacity(this.#service.id);
  }

  /** Performs the work that is due. */
  tick(nowMilliseconds: number): void {
    if (!this.#context.detection) {
      return;
    }
    this.#calls.evaluateTargets(nowMilliseconds);
    this.#rampReturnedTargets(nowMilliseconds);
    this.#expireLoads(nowMilliseconds);
    this.#calls.sendDigest(nowMilliseconds);
  }

  /** Discards the collected evidence, such as after a pause. */
  discardEvidence(): void {
    this.#calls.discardEvidence();
  }

  /** The targets that are out of use, for which probes may be sent. */
  listOutOfUse(nowMilliseconds: number): readonly exclusions.DeclaredTarget[] {
    const selection = this.select(NO_ROUTE, nowMilliseconds);
    return this.#declared.filter(({ shortId }) => selection.out.has(shortId));
  }

  /** Records a successful probe of a target that is out of use. */
  recordProbeSuccess(target: types.ShortId): void {
    this.#calls.recordProbeSuccess(target);
  }

  #chooseTrial(
    selection: exclusions.TargetSelection,
    exclude: ReadonlySet<model.TargetId>,
    nowMilliseconds: number,
  ): exclusions.DeclaredTarget | undefined {
    return selection.trials.find(({ target, shortId }) => {
      const lastTrialAt = this.#lastTrialAt.get(shortId) ?? Number.NEGATIVE_INFINITY;
      return !exclude.has(target.id) && this.#getState(shortId).running === 0 &&
        nowMilliseconds - lastTrialAt >= TRIAL_GAP_MILLISECONDS;
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
    return this.#calls.begin({
      declared,
      state: this.#getState(declared.shortId),
      route,
      startedAt: nowMilliseconds,
      trial,
      stuck: false,
    });
  }

  /** Starts targets that have returned to use with a small share. */
  #rampReturnedTargets(nowMilliseconds: number): void {
    if (this.#previouslyOut.size === 0 && !this.#hasVerdicts(nowMilliseconds)) {
      return;
    }
    const { out } = this.select(NO_ROUTE, nowMilliseconds);
    let returned = false;
    for (const shortId of this.#previouslyOut) {
      if (!out.has(shortId)) {
        this.#states.get(shortId)?.startRamp(nowMilliseconds);
        returned = true;
      }
    }
    this.#previouslyOut = out;
    if (returned) {
      this.#context.onCapacity(this.#service.id);
    }
  }

  /** Discards the reported loads if the coordinator has not renewed them in time. */
  #expireLoads(nowMilliseconds: number): void {
    if (
      this.#loadsValidUntil > nowMilliseconds || this.#loadsValidUntil === Number.NEGATIVE_INFINITY
    ) {
      return;
    }
    this.#loadsValidUntil = Number.NEGATIVE_INFINITY;
    for (const state of this.#states.values()) {
      state.reportedLoad = 0;
    }
    this.#context.onCapacity(this.#service.id);
  }

  #hasVerdicts(nowMilliseconds: number): boolean {
    const held = this.#context.exchange?.getCurrent(this.#service.id, nowMilliseconds);
    return this.#calls.evaluator.hasVerdicts || (held?.verdicts.length ?? 0) > 0;
  }

  #takeLoads(nowMilliseconds: number): messages.TargetLoad[] {
    const loads: messages.TargetLoad[] = [];
    const interval = intervals.getDigestInterval(this.#context.exchange?.members ?? 1);
    for (const [target, state] of this.#states) {
      const running = state.takeAverageLoad(interval, nowMilliseconds);
      state.ownReportedLoad = running;
      if (running >= MINIMUM_REPORTED_LOAD) {
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

/** Matches no route, so that only verdicts for all routes apply. */
const NO_ROUTE = 0 as types.ShortId;
