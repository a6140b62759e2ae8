/**
 * Several VMs with their memberships over an in-memory network, for tests and benchmarks.
 */

import * as testRunner from "node:test";
import * as kernel from "@hemlockwalk/kernel";
import * as kernelTesting from "@hemlockwalk/kernel/testing";
import * as model from "@hemlockwalk/model";
import * as fleet from "../src/mod.ts";
import * as testing from "../src/testing/mod.ts";
import type * as types from "../src/types.ts";

/** Stands in for the platform's list of VMs. The test decides when it is published. */
export class VmListStandin implements types.VmListSource {
  readonly #listeners: ((vms: readonly types.ListedVm[]) => void)[] = [];

  onList(listener: (vms: readonly types.ListedVm[]) => void): void {
    this.#listeners.push(listener);
  }

  publish(vms: readonly types.ListedVm[]): void {
    for (const listener of this.#listeners) {
      listener(vms);
    }
  }
}

/** One simulated VM. */
export class SimulatedVm {
  readonly identity: types.VmIdentity;
  readonly network: testing.MemoryPeerNetwork;
  readonly membership: fleet.GossipMembership;
  readonly list = new VmListStandin();
  readonly metrics = new kernel.Metrics();
  readonly pauses = { lastResumeMilliseconds: Number.NEGATIVE_INFINITY };

  constructor(
    hub: testing.MemoryHub,
    name: string,
    dataCentre: string,
    incarnation: number,
    seeds: readonly types.ListedVm[],
  ) {
    this.identity = {
      vm: model.createVmId(name),
      incarnation: String(incarnation).padStart(6, "0") as model.Incarnation,
      dataCentre: model.createDataCentreId(dataCentre),
    };
    this.network = hub.connect(this.identity);
    this.membership = new fleet.GossipMembership({
      network: this.network,
      address: `${name}:1`,
      seeds,
      list: this.list,
      pauses: this.pauses,
      counters: new fleet.MembershipCounters(this.metrics),
      logger: new kernel.ComponentLogger(kernel.createSilentLogger(), "fleet"),
    });
  }

  /** Members of the VM's view, as `vm/incarnation/state`. */
  describeView(): string {
    return this.membership.listMembers()
      .map((member) => `${member.vm}/${member.incarnation ?? "?"}/${member.state}`)
      .join(" ");
  }

  async count(name: string): Promise<number> {
    const metric = await this.metrics.registry.getSingleMetric(name)?.get();
    return (metric?.values ?? []).reduce((total, value) => total + value.value, 0);
  }
}

/** Creates a seeded generator of numbers from 0 to 1 (mulberry32), so that runs are repeatable. */
function createRandom(seed: number): () => number {
  let state = seed;
  return () => {
    state = (state + 0x6d2b79f5) | 0;
    let mixed = Math.imul(state ^ (state >>> 15), state | 1);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32;
  };
}

/** A fleet on the test clock. */
export class SimulatedFleet {
  readonly hub = new testing.MemoryHub();
  readonly clock = new kernelTesting.TestClock();
  readonly vms = new Map<string, SimulatedVm>();
  readonly #random = testRunner.mock.method(Math, "random", createRandom(1));
  readonly #dataCentres: number;
  readonly #cuts = new Set<string>();
  readonly #paused = new Set<string>();
  #lastIncarnation = 0;

  constructor(dataCentres: number) {
    this.#dataCentres = dataCentres;
  }

  /** Identifier of the VM with the given index. */
  getName(index: number): string {
    return `vm-${String(index).padStart(3, "0")}`;
  }

  /** Adds a VM. It replaces an earlier one with the same index. */
  add(index: number, seeds: readonly types.ListedVm[]): SimulatedVm {
    this.#lastIncarnation++;
    const name = this.getName(index);
    const dataCentre = `dc-${index % this.#dataCentres}`;
    const vm = new SimulatedVm(this.hub, name, dataCentre, this.#lastIncarnation, seeds);
    this.vms.set(name, vm);
    vm.membership.start();
    return vm;
  }

  /** Starts the given number of VMs, with the first three as seeds. */
  async start(count: number): Promise<void> {
    for (let index = 0; index < count; index++) {
      this.add(index, this.listSeeds());
    }
    await this.clock.advance(5_000, 50);
  }

  listSeeds(): types.ListedVm[] {
    return [0, 1, 2].map((index) => ({
      vm: model.createVmId(this.getName(index)),
      address: `${this.getName(index)}:1`,
      dataCentre: model.createDataCentreId(`dc-${index % this.#dataCentres}`),
      state: "live",
    }));
  }

  /** Ends a VM without a leaving announcement. */
  async kill(name: string): Promise<void> {
    const vm = this.vms.get(name);
    if (vm === undefined) {
      return;
    }
    this.vms.delete(name);
    this.#paused.delete(name);
    this.hub.disconnect(vm.identity.vm);
    this.hub.resume(vm.identity.vm);
    // The links are cut while the VM stops, so that the messages of its planned stop are lost.
    const others = [...this.vms.values()].map((other) => other.identity.vm);
    for (const other of others) {
      this.hub.getLink(vm.identity.vm, other).cut = true;
    }
    const stopped = vm.membership.stop();
    vm.network.stop();
    await this.clock.flush();
    void stopped;
    for (const other of others) {
      this.hub.getLink(vm.identity.vm, other).cut = false;
    }
    this.#applyLinks();
  }

  setCut(from: string, to: string, isCut: boolean): void {
    if (isCut) {
      this.#cuts.add(`${from} ${to}`);
    } else {
      this.#cuts.delete(`${from} ${to}`);
    }
    this.#applyLinks();
  }

  pause(name: string): void {
    if (this.vms.has(name)) {
      this.#paused.add(name);
      this.hub.pause(model.createVmId(name));
      this.#applyLinks();
    }
  }

  resume(name: string): void {
    const vm = this.vms.get(name);
    if (vm !== undefined && this.#paused.delete(name)) {
      vm.pauses.lastResumeMilliseconds = this.clock.monotonicMilliseconds;
      this.#applyLinks();
      this.hub.resume(vm.identity.vm);
    }
  }

  /** Ends all cuts and pauses. */
  heal(): void {
    this.#cuts.clear();
    for (const name of [...this.#paused]) {
      this.resume(name);
    }
    this.#applyLinks();
  }

  /** Publishes the current list of VMs to the given VMs. */
  publishList(recipients: Iterable<SimulatedVm> = this.vms.values()): void {
    const list = [...this.vms.values()].map((vm): types.ListedVm => ({
      vm: vm.identity.vm,
      address: `${vm.identity.vm}:1`,
      dataCentre: vm.identity.dataCentre,
      state: "live",
    }));
    for (const vm of recipients) {
      vm.list.publish(list);
    }
  }

  /** The view that every VM must have when no fault is active. */
  describeExpectedView(): string {
    return [...this.vms.values()]
      .sort((left, right) => left.identity.vm < right.identity.vm ? -1 : 1)
      .map((vm) => `${vm.identity.vm}/${vm.identity.incarnation}/live`)
      .join(" ");
  }

  /** Stops all VMs and restores the clock and the random generator. */
  async end(): Promise<void> {
    for (const name of [...this.vms.keys()]) {
      await this.kill(name);
    }
    await this.clock.advance(3_000, 500);
    this.clock.restore();
    this.#random.mock.restore();
  }

  #applyLinks(): void {
    for (const from of this.vms.keys()) {
      for (const to of this.vms.keys()) {
        const link = this.hub.getLink(model.createVmId(from), model.createVmId(to));
        link.cut = this.#paused.has(from) || this.#cuts.has(`${from} ${to}`);
      }
    }
  }
}
