/**
 * Several VMs with claim stores over an in-memory network. The test sets their views of the fleet.
 */

import * as testRunner from "node:test";
import type * as configuration from "@hemlockwalk/configuration";
import * as fleet from "@hemlockwalk/fleet";
import * as fleetTesting from "@hemlockwalk/fleet/testing";
import * as kernel from "@hemlockwalk/kernel";
import * as kernelTesting from "@hemlockwalk/kernel/testing";
import * as model from "@hemlockwalk/model";
import * as claims from "../src/mod.ts";

/** Short periods, so that each of them expires within a history. */
export const TIMING: claims.ClaimTiming = {
  retention: 10_000,
  maxEntryAge: 40_000,
  minLease: 2_000,
  maxLease: 3_000,
};

/** Time after which a fleet whose VMs were all started at once grants claims. */
export const COLD_START_MILLISECONDS = 22_000;

/** Time from a claim to its deadline. */
export const CLAIM_MILLISECONDS = 3_000;

const STEP_MILLISECONDS = 20;

/** Clock step for periods without claims. */
const WAIT_STEP_MILLISECONDS = 100;

/** One simulated VM. */
export interface ClaimVm {
  readonly index: number;
  readonly identity: fleet.VmIdentity;
  readonly network: fleetTesting.MemoryPeerNetwork;
  readonly membership: fleetTesting.FixedMembership;
  readonly store: claims.FleetClaimStore;
  isDead: boolean;
}

function createConfiguration(vmLimit: number): configuration.ConfigurationService {
  const snapshot = { fleet: { vmLimit } } as configuration.Snapshot;
  return { getSnapshot: () => snapshot, isReady: () => true, onChange: () => undefined };
}

/** A simulated fleet of a fixed number of VMs. */
export class ClaimFleet {
  readonly hub = new fleetTesting.MemoryHub();
  readonly clock = new kernelTesting.TestClock();
  readonly vms: ClaimVm[] = [];
  readonly #count: number;
  readonly #vmLimit: number;
  readonly #timing: claims.ClaimTiming;
  readonly #cuts = new Set<string>();
  readonly #paused = new Set<number>();
  readonly #random: testRunner.Mock<() => number>;
  #lastIncarnation = 0;

  constructor(count: number, seed: number, timing = TIMING, vmLimit = count) {
    this.#count = count;
    this.#vmLimit = vmLimit;
    this.#timing = timing;
    let state = seed;
    // A seeded linear congruential generator, so that a history is repeatable.
    this.#random = testRunner.mock.method(Math, "random", () => {
      state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0;
      return state / 2 ** 32;
    });
    for (let index = 0; index < count; index++) {
      this.vms.push(this.#create(index));
    }
  }

  getName(index: number): model.VmId {
    return model.createVmId(`vm-${index}`);
  }

  getVm(index: number): ClaimVm {
    return kernel.getDefined(this.vms[index], "The index is within the fleet.");
  }

  async advance(milliseconds: number): Promise<void> {
    await this.clock.advance(milliseconds, STEP_MILLISECONDS);
  }

  /** Advances the clock in coarse steps, for a period without claims. */
  async wait(milliseconds: number): Promise<void> {
    await this.clock.advance(milliseconds, WAIT_STEP_MILLISECONDS);
  }

  /** Makes a claim with the usual deadline. */
  claim(index: number, key: string, fingerprint = "f"): Promise<claims.ClaimDecision> {
    return this.getVm(index).store.claim({
      workspace: model.createWorkspaceId("antwerp"),
      idempotencyKey: key,
      fingerprint,
      deadlineMilliseconds: this.clock.monotonicMilliseconds + CLAIM_MILLISECONDS,
    });
  }

  /** Makes a claim and waits for its decision. */
  async claimNow(index: number, key: string, fingerprint = "f"): Promise<claims.ClaimDecision> {
    let decision: claims.ClaimDecision | undefined;
    void this.claim(index, key, fingerprint).then((settled) => {
      decision = settled;
    });
    while (decision === undefined) {
      await this.advance(STEP_MILLISECONDS);
    }
    return decision;
  }

  /** Ends a VM without notice and starts another process under its identifier immediately. */
  async replace(index: number): Promise<ClaimVm> {
    const earlier = this.getVm(index);
    earlier.isDead = true;
    this.#paused.delete(index);
    this.hub.disconnect(earlier.identity.vm);
    this.hub.resume(earlier.identity.vm);
    for (let other = 0; other < this.#count; other++) {
      this.hub.getLink(earlier.identity.vm, this.getName(other)).cut = true;
    }
    const stopped = earlier.store.stop();
    earlier.network.stop();
    await this.clock.flush();
    await stopped;
    const later = this.#create(index);
    this.vms[index] = later;
    this.#applyLinks();
    return later;
  }

  setCut(from: number, to: number, isCut: boolean): void {
    if (isCut) {
      this.#cuts.add(`${from} ${to}`);
    } else {
      this.#cuts.delete(`${from} ${to}`);
    }
    this.#applyLinks();
  }

  /** Cuts all links between the given VMs and the others, in both directions. */
  part(side: readonly number[]): void {
    for (let from = 0; from < this.#count; from++) {
      for (let to = 0; to < this.#count; to++) {
        this.setCut(from, to, side.includes(from) !== side.includes(to));
      }
    }
  }

  pause(index: number): void {
    this.#paused.add(index);
    this.hub.pause(this.getName(index));
    this.#applyLinks();
  }

  resume(index: number): void {
    if (this.#paused.delete(index)) {
      this.#applyLinks();
      this.hub.resume(this.getName(index));
    }
  }

  /** Sets a VM's view of the fleet. The view always includes the VM itself. */
  setView(index: number, others: readonly number[]): void {
    const vm = this.getVm(index);
    vm.membership.set(this.#createMembers([...new Set([index, ...others])].sort()));
  }

  /** Ends all cuts, delays and pauses, and gives all VMs the complete view. */
  heal(): void {
    this.#cuts.clear();
    for (const index of [...this.#paused]) {
      this.resume(index);
    }
    for (let from = 0; from < this.#count; from++) {
      this.setView(from, this.vms.map((vm) => vm.index));
      for (let to = 0; to < this.#count; to++) {
        this.setDelay(from, to, 1);
      }
    }
    this.#applyLinks();
  }

  setDelay(from: number, to: number, milliseconds: number): void {
    this.hub.getLink(this.getName(from), this.getName(to)).delayMilliseconds = milliseconds;
  }

  async end(): Promise<void> {
    for (const vm of this.vms) {
      vm.isDead = true;
      void vm.store.stop();
      vm.network.stop();
    }
    await this.clock.advance(4_000, 500);
    this.clock.restore();
    this.#random.mock.restore();
  }

  #create(index: number): ClaimVm {
    this.#lastIncarnation++;
    const identity = {
      vm: this.getName(index),
      incarnation: String(this.#lastIncarnation).padStart(6, "0") as model.Incarnation,
      dataCentre: model.createDataCentreId("north-1"),
    };
    const network = this.hub.connect(identity);
    const allIndexes = Array.from({ length: this.#count }, (_, other) => other);
    const membership = new fleetTesting.FixedMembership(identity, this.#createMembers(allIndexes));
    const store = new claims.FleetClaimStore({
      network,
      membership,
      configuration: createConfiguration(this.#vmLimit),
      counters: new claims.ClaimCounters(new kernel.Metrics()),
      timing: this.#timing,
    });
    store.start();
    return { index, identity, network, membership, store, isDead: false };
  }

  #createMembers(indexes: readonly number[]): fleet.Member[] {
    return indexes.map((index) => ({
      vm: this.getName(index),
      dataCentre: model.createDataCentreId("north-1"),
      address: `10.0.0.${index}:1`,
      incarnation: undefined,
      state: "live",
    }));
  }

  #applyLinks(): void {
    for (let from = 0; from < this.#count; from++) {
      for (let to = 0; to < this.#count; to++) {
        const link = this.hub.getLink(this.getName(from), this.getName(to));
        link.cut = this.#paused.has(from) || this.#cuts.has(`${from} ${to}`);
      }
    }
  }
}
