/**
 * Runs several VMs in one process, each with its own kernel and configuration.
 */

import assert from "node:assert/strict";
import * as test from "node:test";
import * as fleet from "@hemlockwalk/fleet";
import * as fleetTesting from "@hemlockwalk/fleet/testing";
import * as kernel from "@hemlockwalk/kernel";
import * as kernelTesting from "@hemlockwalk/kernel/testing";
import * as model from "@hemlockwalk/model";
import * as fastCheck from "fast-check";
import * as configuration from "../src/mod.ts";
import * as memoryPlatform from "./memory_platform.ts";

const DATA_CENTRES = ["north-1", "north-2"] as const;

const STOP_STEP_MILLISECONDS = 20;
const STOP_STEPS = 250;

const RANDOM_RANGE = 1_000_000;
const RANDOM_VALUES = 5_000;

/** A running VM. */
export interface RunningVm {
  readonly identity: fleet.VmIdentity;
  readonly services: kernel.Kernel;
  readonly configuration: configuration.ConfigurationService;
  readonly membership: fleetTesting.FixedMembership;
  /** All changes of the configuration, in order. */
  readonly changes: configuration.SnapshotChange[];
}

/** The fleet of one test. */
export class FleetWorld {
  readonly clock: kernelTesting.TestClock;
  readonly hub = new fleetTesting.MemoryHub();
  readonly platform = new memoryPlatform.MemoryPlatform();
  readonly vms = new Map<string, RunningVm>();
  readonly paused = new Set<string>();
  readonly #random: test.Mock<() => number>;

  /** @param seed Seed of all random choices, such as jitter. */
  constructor(seed: number) {
    this.clock = new kernelTesting.TestClock();
    const values = fastCheck.sample(fastCheck.noBias(fastCheck.nat({ max: RANDOM_RANGE - 1 })), {
      seed,
      numRuns: RANDOM_VALUES,
    });
    let next = 0;
    this.#random = test.mock.method(Math, "random", () => {
      next = (next + 1) % values.length;
      return kernel.getDefined(values[next], "The index is within the list.") / RANDOM_RANGE;
    });
  }

  get(name: string): RunningVm {
    return kernel.getDefined(this.vms.get(name), "The VM is running.");
  }

  /** Starts a VM without a configuration. */
  async start(name: string): Promise<RunningVm> {
    const identity: fleet.VmIdentity = {
      vm: model.createVmId(name),
      incarnation: model.createIncarnation(),
      dataCentre: getDataCentre(name),
    };
    const services = new kernel.Kernel();
    const membership = new fleetTesting.FixedMembership(identity, []);
    services.register<fleet.Membership>(fleet.MEMBERSHIP, membership);
    services.register<fleet.PeerNetwork>(fleet.PEER_NETWORK, this.hub.connect(identity));
    const service = configuration.registerConfiguration(
      services,
      this.platform.createReader(name),
      new kernel.ComponentLogger(kernel.createSilentLogger(), "configuration"),
    );
    const changes: configuration.SnapshotChange[] = [];
    service.onChange((change) => changes.push(change));
    const vm = { identity, services, configuration: service, membership, changes };
    this.vms.set(name, vm);
    this.#updateMemberships();
    await services.start();
    return vm;
  }

  /** Disconnects and stops a VM. Its state is lost. */
  async stop(name: string): Promise<void> {
    const vm = this.get(name);
    this.vms.delete(name);
    this.paused.delete(name);
    this.hub.resume(vm.identity.vm);
    this.hub.disconnect(vm.identity.vm);
    this.#updateMemberships();
    let isStopped = false;
    const stopped = vm.services.stop().then(() => {
      isStopped = true;
    });
    for (let step = 0; step < STOP_STEPS && !isStopped; step++) {
      await this.clock.advance(STOP_STEP_MILLISECONDS);
    }
    assert.ok(isStopped, "A VM stops in time, even if its peers do not respond.");
    await stopped;
  }

  async close(): Promise<void> {
    for (const name of [...this.vms.keys()]) {
      await this.stop(name);
    }
    this.#random.mock.restore();
    this.clock.restore();
  }

  getNumber(name: string): number {
    return this.get(name).configuration.getSnapshot()?.number ?? 0;
  }

  setCut(from: string, to: string, cut: boolean): void {
    this.hub.getLink(model.createVmId(from), model.createVmId(to)).cut = cut;
  }

  /** Whether messages are delivered directly in both directions. */
  areLinked(left: string, right: string): boolean {
    const leftId = model.createVmId(left);
    const rightId = model.createVmId(right);
    return !this.paused.has(left) && !this.paused.has(right) &&
      !this.hub.getLink(leftId, rightId).cut && !this.hub.getLink(rightId, leftId).cut;
  }

  /** Lists the VMs that are reachable from the given one, directly or through other VMs. */
  listReachable(from: string): Set<string> {
    const reached = new Set([from]);
    for (const name of reached) {
      for (const other of this.vms.keys()) {
        if (this.areLinked(name, other)) {
          reached.add(other);
        }
      }
    }
    return reached;
  }

  /** Checks that each VM has only moved forward along the published chain. */
  assertForwardOnly(published: readonly { readonly digest: string }[]): void {
    for (const { changes } of this.vms.values()) {
      let number = 0;
      for (const { current } of changes) {
        assert.ok(current.number > number, `${current.number} after ${number}`);
        assert.equal(current.digest, published[current.number - 1]?.digest);
        number = current.number;
      }
    }
  }

  #updateMemberships(): void {
    const members = [...this.vms.values()].map(({ identity }): fleet.Member => ({
      ...identity,
      address: "127.0.0.1:1",
      state: "live",
    }));
    members.sort((left, right) => (left.vm < right.vm ? -1 : 1));
    for (const vm of this.vms.values()) {
      vm.membership.set(members);
    }
  }
}

/** VMs with even numbers are in one data centre, those with odd numbers in the other. */
function getDataCentre(name: string): model.DataCentreId {
  const number = Number(name.replace(/\D/g, ""));
  const dataCentre = DATA_CENTRES[number % DATA_CENTRES.length];
  return model.createDataCentreId(kernel.getDefined(dataCentre, "The index is within the list."));
}
