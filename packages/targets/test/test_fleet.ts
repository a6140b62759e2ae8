/**
 * Several VMs with their pools in one process, with targets whose results the test determines.
 */

import * as configurationTesting from "@hemlockwalk/configuration/testing";
import * as fleet from "@hemlockwalk/fleet";
import * as fleetTesting from "@hemlockwalk/fleet/testing";
import * as kernel from "@hemlockwalk/kernel";
import * as kernelTesting from "@hemlockwalk/kernel/testing";
import type * as model from "@hemlockwalk/model";
import * as targets from "../src/mod.ts";
import * as fixtures from "./fixtures.ts";

const STEP_MILLISECONDS = 20;
const GOOD_LATENCY_MILLISECONDS = 20;

/** Returns the result of a call to a target; undefined for a call that never ends. */
export type TargetRule = (
  call: { readonly vm: number; readonly target: model.TargetId; readonly route: model.RouteId },
) => targets.CallResult | undefined;

/** One VM of a test. */
export interface TestVm {
  readonly identity: fleet.VmIdentity;
  readonly pool: targets.AdaptivePool;
  readonly membership: fleetTesting.FixedMembership;
  readonly configuration: configurationTesting.SettableConfiguration;
  readonly pauses: fixtures.FakePauses;
  readonly metrics: kernel.Metrics;
  paused: boolean;
}

/** A call for which a target was chosen. */
export interface TestCall {
  readonly vm: number;
  readonly target: model.Target;
  readonly idempotent: boolean;
  /** Whether the target was out of use for the route. */
  readonly trial: boolean;
}

/** A fleet under a test clock. */
export class TestFleet {
  readonly clock = new kernelTesting.TestClock();
  readonly hub = new fleetTesting.MemoryHub();
  readonly vms: TestVm[] = [];
  readonly random: targets.RandomSource;
  readonly calls: TestCall[] = [];
  rule: TargetRule = () => "success";
  readonly #running: { readonly end: () => void; readonly vm: TestVm }[] = [];
  readonly #hanging: (() => void)[] = [];

  constructor(
    count: number,
    declaration: fixtures.Declaration,
    seed: number,
    guards: targets.Guards = targets.ALL_GUARDS,
  ) {
    this.random = new targets.RandomSource(seed);
    const identities = fixtures.createIdentities(count, declaration.dataCentres);
    const members = fixtures.createMembers(identities);
    for (const [index, identity] of identities.entries()) {
      const configuration = new configurationTesting.SettableConfiguration(
        fixtures.createSnapshot(declaration),
      );
      const membership = new fleetTesting.FixedMembership(identity, members);
      const pauses = new fixtures.FakePauses();
      const metrics = new kernel.Metrics();
      const pool = new targets.AdaptivePool({
        self: identity,
        configuration,
        metrics,
        logger: fixtures.createLogger(),
        pauses,
        network: this.hub.connect(identity),
        membership,
      }, { guards, seed: seed * 100 + index });
      pool.start();
      this.vms.push({ identity, pool, membership, configuration, pauses, metrics, paused: false });
    }
  }

  /** The VM with the given position. */
  getVm(index: number): TestVm {
    return kernel.getDefined(this.vms[index], "The fleet has as many VMs.");
  }

  /** The VM that coordinates the service while all VMs are live in each other's view. */
  getCoordinator(): TestVm {
    const names = this.vms.map(({ identity }) => identity.vm);
    const [first] = fleet.rankOwners(`targets ${fixtures.SERVICE}`, names, 1);
    return kernel.getDefined(
      this.vms.find(({ identity }) => identity.vm === first),
      "The owner is one of the VMs.",
    );
  }

  /** Makes one request at a VM. */
  request(index: number, idempotent: boolean): TestCall | undefined {
    const vm = this.getVm(index);
    const route = idempotent ? fixtures.ROUTE : fixtures.OTHER_ROUTE;
    const inUse = new Set(vm.pool.listInUse(fixtures.SERVICE, route).map(({ id }) => id));
    const lease = vm.pool.tryAcquire({
      service: fixtures.SERVICE,
      route,
      idempotent,
      exclude: new Set(),
    });
    if (lease === undefined) {
      return undefined;
    }
    const { target } = lease;
    const call = { vm: index, target, idempotent, trial: !inUse.has(target.id) };
    this.calls.push(call);
    const result = this.rule({ vm: index, target: target.id, route });
    if (result === undefined) {
      this.#hanging.push(() => lease.release(createOutcome("timeout", route)));
    } else {
      this.#running.push({ end: () => lease.release(createOutcome(result, route)), vm });
    }
    return call;
  }

  /** Advances the clock, and makes requests at random VMs. */
  async run(milliseconds: number, requestsPerStep: number): Promise<void> {
    for (let elapsed = 0; elapsed < milliseconds; elapsed += STEP_MILLISECONDS) {
      await this.clock.advance(STEP_MILLISECONDS, STEP_MILLISECONDS);
      this.#endCalls();
      for (let count = 0; count < requestsPerStep; count++) {
        const index = Math.floor(this.random.next() * this.vms.length);
        if (!this.getVm(index).paused) {
          this.request(index, this.random.next() < 0.8);
        }
      }
    }
  }

  /** Pauses a VM: it makes no requests and receives no messages. */
  pause(vm: TestVm): void {
    vm.paused = true;
    this.hub.pause(vm.identity.vm);
  }

  /** Ends a pause. */
  resume(vm: TestVm): void {
    vm.paused = false;
    vm.pauses.resume(1_000);
    this.hub.resume(vm.identity.vm);
  }

  /** The targets that a VM does not use, without the leaving ones. */
  listOut(index: number, route = fixtures.ROUTE): model.TargetId[] {
    const { pool, configuration } = this.getVm(index);
    const inUse = new Set(pool.listInUse(fixtures.SERVICE, route).map(({ id }) => id));
    const declared = configuration.getSnapshot()?.listTargets(fixtures.SERVICE) ?? [];
    return declared.filter(({ id, leaving }) => !leaving && !inUse.has(id)).map(({ id }) => id);
  }

  /** Ends all calls, including those that would never end. */
  endAllCalls(): void {
    this.#endCalls(true);
    for (const end of this.#hanging.splice(0)) {
      end();
    }
  }

  async stop(): Promise<void> {
    for (const { pool } of this.vms) {
      const stopped = pool.stop();
      await this.clock.flush();
      await stopped;
    }
    this.clock.restore();
  }

  #endCalls(pausedToo = false): void {
    for (const call of this.#running.splice(0)) {
      if (call.vm.paused && !pausedToo) {
        this.#running.push(call);
      } else {
        call.end();
      }
    }
  }
}

function createOutcome(result: targets.CallResult, route: model.RouteId): targets.CallOutcome {
  return { result, latencyMilliseconds: GOOD_LATENCY_MILLISECONDS, route };
}
