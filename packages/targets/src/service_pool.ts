/**
 * The targets of one service on one VM: choice, running requests, and what they show.
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
import type * as pools from "./pool_options.ts";
import type * as selfSuspicion from "./local_fault_detector.ts";
import * as slotBooks from "./slot_admission.ts";
import * as states from "./target_state.ts";
import * as subsets from "./target_subset.ts";
import type * as types from "./types.ts";

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

/** One service on one VM. */
export class ServicePool {
  readonly #context: ServicePoolContext;
  readonly #slots: slotBooks.SlotBook;
  readonly #calls: callEvidence.CallEvidence;
  readonly #states = new Map<types.ShortId, states.TargetState>();
  readonly #triedAt = new Map<types.ShortId, number>();
  readonly #routes = new Map<model.RouteId, types.ShortId>();
  #service: model.Service;
  #declared: readonly exclusions.DeclaredTarget[] = [];
  #loadsUntil = Number.NEGATIVE_INFINITY;
  #outBefore: ReadonlySet<types.ShortId> = new Set();

  constructor(context: ServicePoolContext, service: model.Service, nowMilliseconds: number) {
    this.#context = context;
    this.#service = service;
    this.#slots = new slotBooks.SlotBook(context.self);
    this.#calls = new callEvidence.CallEvidence(
      context,
      service.id,
      (now) => this.#takeLoads(now),
      nowMilliseconds,
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
    const all = snapshot.listTargets(service.id);
    const share = subsets.getConnectionShare(service.connections, vmLimit);
    this.#slots.declare(all, service.slots, Math.min(service.slots, share));
    const targets = subsets.selectSubset(
      this.#context.self.vm,
      all,
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
        this.#triedAt.delete(shortId);
      }
    }
    for (const shortId of known) {
      if (!this.#states.has(shortId)) {
        this.#states.set(shortId, new states.TargetState(!first, nowMilliseconds));
      }
    }
    this.#calls.judge.declare(
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
    this.#slots.deal(this.#context.exchange?.listMembers() ?? NO_MEMBERS);
    const byTarget = new Map<types.Candidate, exclusions.DeclaredTarget>();
    for (const declared of selection.inUse) {
      const candidate = this.#createCandidate(declared, nowMilliseconds);
      if (
        !request.exclude.has(declared.target.id) &&
        this.#slots.hasSlot(candidate, this.#calls.running)
      ) {
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
    return this.#calls.running;
  }

  /** Sorts the targets by what may be sent to them for a route. */
  select(route: types.ShortId, nowMilliseconds: number): exclusions.TargetSelection {
    const held = this.#context.exchange?.getCurrent(this.#service.id, nowMilliseconds);
    return exclusions.selectTargets({
      declared: this.#declared,
      floor: this.#service.floor,
      verdicts: held?.verdicts ?? [],
      mayTry: held?.mayTry ?? false,
      ownVerdicts: this.#calls.judge.listVerdicts(nowMilliseconds),
      dataCentre: this.#context.self.dataCentre,
      route,
      keepFloor: this.#context.guards.floor,
    });
  }

  /** Takes over the loads that a coordinator reports. */
  noteLoads(loads: readonly messages.TargetLoad[], nowMilliseconds: number): void {
    const members = this.#context.exchange?.members ?? 1;
    this.#loadsUntil = nowMilliseconds + intervals.getVerdictLifetime(members);
    const reported = new Map(loads.map(({ target, running }) => [target, running]));
    for (const [shortId, state] of this.#states) {
      state.reportedLoad = reported.get(shortId) ?? 0;
    }
    // Requests that wait may now borrow slots.
    this.#context.onCapacity(this.#service.id);
  }

  /** Does what is due. */
  tick(nowMilliseconds: number): void {
    if (!this.#context.detection) {
      return;
    }
    this.#calls.judgeTargets(nowMilliseconds);
    this.#noteReturns(nowMilliseconds);
    this.#noteSilence(nowMilliseconds);
    this.#calls.sendDigest(nowMilliseconds);
  }

  /** Voids what was collected, such as after a pause. */
  voidEvidence(): void {
    this.#calls.voidEvidence();
  }

  /** Targets out of use that no request may try yet, so that only a probe can tell something. */
  listProbed(nowMilliseconds: number): readonly exclusions.DeclaredTarget[] {
    const selection = this.select(NO_ROUTE, nowMilliseconds);
    return this.#declared.filter(({ shortId }) => selection.out.has(shortId));
  }

  /** Takes note that a probe of a target out of use succeeded. */
  noteProbeSuccess(target: types.ShortId): void {
    this.#calls.noteProbeSuccess(target);
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
    return this.#calls.begin({
      declared,
      state: this.#getState(declared.shortId),
      route,
      startedAt: nowMilliseconds,
      trial,
      stuck: false,
    });
  }

  /** Targets that came back into use get little at first. */
  #noteReturns(nowMilliseconds: number): void {
    if (this.#outBefore.size === 0 && !this.#hasVerdicts(nowMilliseconds)) {
      return;
    }
    const { out } = this.select(NO_ROUTE, nowMilliseconds);
    let returned = false;
    for (const shortId of this.#outBefore) {
      if (!out.has(shortId)) {
        this.#states.get(shortId)?.startRamp(nowMilliseconds);
        returned = true;
      }
    }
    this.#outBefore = out;
    if (returned) {
      this.#context.onCapacity(this.#service.id);
    }
  }

  /** Loads of a coordinator that is not heard any more are forgotten. */
  #noteSilence(nowMilliseconds: number): void {
    if (this.#loadsUntil > nowMilliseconds || this.#loadsUntil === Number.NEGATIVE_INFINITY) {
      return;
    }
    this.#loadsUntil = Number.NEGATIVE_INFINITY;
    for (const state of this.#states.values()) {
      state.reportedLoad = 0;
    }
    this.#context.onCapacity(this.#service.id);
  }

  #hasVerdicts(nowMilliseconds: number): boolean {
    const held = this.#context.exchange?.getCurrent(this.#service.id, nowMilliseconds);
    return this.#calls.judge.hasVerdicts || (held?.verdicts.length ?? 0) > 0;
  }

  #takeLoads(nowMilliseconds: number): messages.TargetLoad[] {
    const loads: messages.TargetLoad[] = [];
    const interval = intervals.getDigestInterval(this.#context.exchange?.members ?? 1);
    for (const [target, state] of this.#states) {
      const running = state.takeAverageLoad(interval, nowMilliseconds);
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
