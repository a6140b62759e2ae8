/**
 * A fleet of pools with fake targets and an in-memory network, simulated in virtual time.
 */

import * as configurationTesting from "@hemlockwalk/configuration/testing";
import * as fleet from "@hemlockwalk/fleet";
import * as fleetTesting from "@hemlockwalk/fleet/testing";
import * as kernel from "@hemlockwalk/kernel";
import type * as model from "@hemlockwalk/model";
import * as fixtures from "../test/fixtures.ts";
import * as targets from "../src/mod.ts";
import * as fakeTarget from "./fake_target.ts";
import * as virtualTime from "./virtual_time.ts";

const TICK_MILLISECONDS = 50;
const FIRST_RETRY_MILLISECONDS = 5;
const RETRY_MILLISECONDS = 50;
const CALL_TIMEOUT_MILLISECONDS = 10_000;
const QUEUE_TIMEOUT_MILLISECONDS = 2_000;
const NEAR_MILLISECONDS = 0.2;

/** Share and median service time of the two routes. */
const BROWSE_SHARE = 0.8;
const BROWSE_MILLISECONDS = 20;
const BOOK_MILLISECONDS = 30;

/** The size of the fleet and its load. */
export interface Size {
  readonly name: string;
  readonly targets: number;
  readonly dataCentres: number;
  readonly vms: number;
  readonly slots: number;
  readonly connections: number;
  /** One-way network latency between data centres. */
  readonly distanceMilliseconds: number;
  /** Calls per second for each target, from the whole fleet. */
  readonly rate: number;
  readonly floor: number;
}

/** How targets are chosen. */
export type PoolKind = "adaptive" | "round_robin" | "least_loaded";

/** One VM of the simulation. */
export interface SimulatedVm {
  readonly identity: fleet.VmIdentity;
  readonly pool: targets.AdaptivePool;
  readonly pauses: fixtures.FakePauses;
  readonly metrics: kernel.Metrics;
  readonly callsByTarget: Map<model.TargetId, number>;
  /** Targets that it uses while all are healthy. */
  readonly subset: readonly model.TargetId[];
  paused: boolean;
  resumeAt: number;
}

/** Counts over the time since the last reset. */
export interface CallCounts {
  calls: number;
  bad: number;
  shed: number;
  waited: number;
  refused: number;
}

/** A simulated fleet. */
export class Simulation {
  readonly size: Size;
  readonly time = new virtualTime.VirtualTime();
  readonly hub = new fleetTesting.MemoryHub();
  readonly vms: SimulatedVm[] = [];
  readonly targets = new Map<model.TargetId, fakeTarget.FakeTarget>();
  readonly random: targets.RandomSource;
  readonly configuration: configurationTesting.SettableConfiguration;
  counts = createCounts();
  /** Factor on the arrival rate. */
  loadFactor = 1;
  processorMilliseconds = 0;

  constructor(size: Size, kind: PoolKind, seed: number, guards: targets.Guards) {
    this.size = size;
    this.time.install();
    this.random = new targets.RandomSource(seed);
    const snapshot = fixtures.createSnapshot({ ...size, vmLimit: Math.ceil(size.vms * 1.1) });
    this.configuration = new configurationTesting.SettableConfiguration(snapshot);
    for (const target of snapshot.listTargets(fixtures.SERVICE)) {
      const fake = new fakeTarget.FakeTarget(this.time, this.random, size.slots);
      this.targets.set(target.id, fake);
    }
    const identities = fixtures.createIdentities(size.vms, size.dataCentres);
    const members = fixtures.createMembers(identities);
    for (const [index, identity] of identities.entries()) {
      this.vms.push(this.#createVm(identity, members, kind, seed * 1_000 + index, guards));
    }
    this.#scheduleTick();
    this.#scheduleArrival();
  }

  /** The targets out of use on a VM. */
  listOut(vm: SimulatedVm, route = fixtures.ROUTE): Set<model.TargetId> {
    const out = new Set(vm.subset);
    for (const target of vm.pool.listInUse(fixtures.SERVICE, route)) {
      out.delete(target.id);
    }
    return out;
  }

  /** Pauses a VM; messages and responses to it are delivered when it resumes. */
  pause(vm: SimulatedVm, milliseconds: number): void {
    vm.paused = true;
    vm.resumeAt = this.time.now + milliseconds;
    this.hub.pause(vm.identity.vm);
    this.time.schedule(vm.resumeAt, () => {
      vm.paused = false;
      vm.pauses.resume(milliseconds);
      this.hub.resume(vm.identity.vm);
    });
  }

  #createVm(
    identity: fleet.VmIdentity,
    members: readonly fleet.Member[],
    kind: PoolKind,
    seed: number,
    guards: targets.Guards,
  ): SimulatedVm {
    const metrics = new kernel.Metrics();
    const pauses = new fixtures.FakePauses();
    const pool = new targets.AdaptivePool({
      self: identity,
      configuration: this.configuration,
      metrics,
      logger: fixtures.createLogger(),
      pauses,
      network: this.hub.connect(identity),
      membership: new fleetTesting.FixedMembership(identity, members),
    }, {
      strategy: createStrategy(kind, seed),
      detection: kind === "adaptive",
      guards,
      seed,
    });
    const subset = pool.listInUse(fixtures.SERVICE, fixtures.ROUTE).map(({ id }) => id);
    const callsByTarget = new Map<model.TargetId, number>();
    return { identity, pool, pauses, metrics, callsByTarget, subset, paused: false, resumeAt: 0 };
  }

  #scheduleTick(): void {
    this.time.schedule(this.time.now + TICK_MILLISECONDS, () => {
      const started = process.hrtime.bigint();
      for (const vm of this.vms) {
        if (!vm.paused) {
          vm.pool.tick();
        }
      }
      this.processorMilliseconds += Number(process.hrtime.bigint() - started) / 1e6;
      this.#scheduleTick();
    });
  }

  #scheduleArrival(): void {
    const rate = this.size.rate * this.size.targets * this.loadFactor;
    const wait = -Math.log(1 - this.random.next()) / rate * 1_000;
    this.time.schedule(this.time.now + wait, () => {
      const vm = kernel.getDefined(this.random.pick(this.vms), "There are VMs.");
      const browse = this.random.next() < BROWSE_SHARE;
      this.#request(vm, browse, this.time.now, false);
      this.#scheduleArrival();
    });
  }

  #request(vm: SimulatedVm, browse: boolean, arrivedAt: number, waited: boolean): void {
    if (vm.paused) {
      this.time.schedule(vm.resumeAt + 1, () => this.#request(vm, browse, arrivedAt, waited));
      return;
    }
    const route = browse ? fixtures.ROUTE : fixtures.OTHER_ROUTE;
    const lease = vm.pool.tryAcquire({
      service: fixtures.SERVICE,
      route,
      idempotent: browse,
      exclude: new Set(),
    });
    if (lease === undefined) {
      this.counts.waited += waited ? 0 : 1;
      if (this.time.now - arrivedAt > QUEUE_TIMEOUT_MILLISECONDS) {
        this.counts.refused++;
        return;
      }
      this.time.schedule(
        this.time.now + (waited ? RETRY_MILLISECONDS : FIRST_RETRY_MILLISECONDS),
        () => this.#request(vm, browse, arrivedAt, true),
      );
      return;
    }
    this.#call(vm, lease, route, browse);
  }

  #call(
    vm: SimulatedVm,
    lease: targets.TargetLease,
    route: model.RouteId,
    browse: boolean,
  ): void {
    const { id, dataCentre } = lease.target;
    const fake = kernel.getDefined(this.targets.get(id), "Each target has a fake.");
    vm.callsByTarget.set(id, (vm.callsByTarget.get(id) ?? 0) + 1);
    const medianMilliseconds = browse ? BROWSE_MILLISECONDS : BOOK_MILLISECONDS;
    const near = dataCentre === vm.identity.dataCentre;
    fake.handle({
      dataCentre: vm.identity.dataCentre,
      vm: vm.identity.vm,
      route,
      medianMilliseconds,
      networkMilliseconds: near ? NEAR_MILLISECONDS : this.size.distanceMilliseconds * 2,
      timeoutMilliseconds: CALL_TIMEOUT_MILLISECONDS,
      end: (outcome) => this.#end(vm, lease, outcome, medianMilliseconds),
    });
  }

  #end(
    vm: SimulatedVm,
    lease: targets.TargetLease,
    outcome: targets.CallOutcome,
    medianMilliseconds: number,
  ): void {
    if (vm.paused) {
      const late = vm.resumeAt + 1;
      this.time.schedule(late, () => {
        const latencyMilliseconds = outcome.latencyMilliseconds + late - this.time.now;
        this.#end(vm, lease, { ...outcome, latencyMilliseconds }, medianMilliseconds);
      });
      return;
    }
    const slow = outcome.latencyMilliseconds > medianMilliseconds * 4;
    this.counts.calls++;
    this.counts.shed += outcome.result === "shed" ? 1 : 0;
    this.counts.bad += outcome.result === "shed" || (outcome.result === "success" && !slow) ? 0 : 1;
    lease.release(outcome);
  }
}

/** Creates counts that are all zero. */
export function createCounts(): CallCounts {
  return { calls: 0, bad: 0, shed: 0, waited: 0, refused: 0 };
}

function createStrategy(kind: PoolKind, seed: number): targets.ChoiceStrategy {
  const random = new targets.RandomSource(seed);
  switch (kind) {
    case "adaptive":
      return new targets.PowerOfTwoStrategy(random);
    case "round_robin":
      return new targets.RoundRobinStrategy();
    case "least_loaded":
      return new targets.LeastLoadedStrategy(random);
  }
}
