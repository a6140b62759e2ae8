/**
 * A fleet of VMs with rate limiters on one in-memory network, and an oracle that checks every
 * admission.
 */

import * as asyncHooks from "node:async_hooks";
import type * as configuration from "@hemlockwalk/configuration";
import * as configurationTesting from "@hemlockwalk/configuration/testing";
import * as fleet from "@hemlockwalk/fleet";
import * as fleetTesting from "@hemlockwalk/fleet/testing";
import * as kernel from "@hemlockwalk/kernel";
import * as model from "@hemlockwalk/model";
import * as limits from "../src/mod.ts";
import * as shards from "../src/shards.ts";

const TOLERANCE = 1e-6;

/** The simulated process to which the running code belongs. */
interface TestProcess {
  isPaused: boolean;
  /** Timers that became due during the pause. */
  readonly dueTimers: (() => void)[];
}

/**
 * Associates timers with the VM that set them, so that a pause of the VM defers them too. Created
 * after the test's clock and restored before it.
 */
class ProcessTimers {
  readonly #storage = new asyncHooks.AsyncLocalStorage<TestProcess | undefined>();
  readonly #setTimeout = globalThis.setTimeout;

  constructor() {
    const set = (callback: () => void, milliseconds?: number) => {
      const owner = this.#storage.getStore();
      const fire = () => this.run(owner, callback);
      const onDue = () => owner?.isPaused ? void owner.dueTimers.push(fire) : fire();
      return this.#setTimeout(onDue, milliseconds);
    };
    globalThis.setTimeout = set as typeof globalThis.setTimeout;
  }

  /** Runs code as part of a process, or of none. */
  run<T>(owner: TestProcess | undefined, code: () => T): T {
    return this.#storage.run(owner, code);
  }

  restore(): void {
    globalThis.setTimeout = this.#setTimeout;
  }
}

/**
 * One token bucket for a workspace, from which every admission takes a token. An admission without
 * a token is a violation.
 */
export class Oracle {
  #bucket: limits.TokenBucket;
  #rate: number;
  #burst: number;
  admissions = 0;
  violations = 0;

  constructor(rate: number, burst: number, nowMilliseconds: number) {
    this.#bucket = new limits.TokenBucket(rate, burst, burst, nowMilliseconds);
    this.#rate = rate;
    this.#burst = burst;
  }

  record(nowMilliseconds: number): void {
    this.admissions++;
    if (!this.#bucket.tryTake(1 - TOLERANCE, nowMilliseconds)) {
      this.violations++;
    }
  }

  /**
   * Changes rate and burst. The invariant applies to intervals, and an interval that contains the
   * change has the higher burst: a raise adds to the level at once, and a lower burst clamps the
   * level.
   */
  configure(rate: number, burst: number, nowMilliseconds: number): void {
    if (rate === this.#rate && burst === this.#burst) {
      return;
    }
    const level = this.#bucket.getLevel(nowMilliseconds) + Math.max(0, burst - this.#burst);
    this.#bucket = new limits.TokenBucket(rate, burst, level, nowMilliseconds);
    this.#rate = rate;
    this.#burst = burst;
  }
}

/** A configuration that the test sets and that ignores older release notes. */
export class MonotonicConfiguration extends configurationTesting.SettableConfiguration {
  override getSnapshot(): configuration.Snapshot {
    return kernel.getDefined(super.getSnapshot(), "A VM of a test starts with a configuration.");
  }

  override set(snapshot: configuration.Snapshot): void {
    if (snapshot.number > this.getSnapshot().number) {
      super.set(snapshot);
    }
  }
}

export function createWorkspace(id: string, rate: number, burst: number): model.Workspace {
  return { id: model.createWorkspaceId(id), rate, burst, weight: 1 };
}

/** A plain configuration that finds a workspace in constant time. */
class WorkspaceSnapshot extends configurationTesting.PlainSnapshot {
  readonly #workspaces: ReadonlyMap<model.WorkspaceId, model.Workspace>;

  constructor(contents: configurationTesting.PlainContents) {
    super(contents);
    const workspaces = contents.workspaces ?? [];
    this.#workspaces = new Map(workspaces.map((workspace) => [workspace.id, workspace]));
  }

  override findWorkspace(id: model.WorkspaceId): model.Workspace | undefined {
    return this.#workspaces.get(id);
  }
}

/** Creates a configuration that contains only workspaces. */
export function createSnapshot(
  number: number,
  vmLimit: number,
  workspaces: readonly model.Workspace[],
): configuration.Snapshot {
  return new WorkspaceSnapshot({ number, fleet: { vmLimit }, workspaces });
}

/** One VM of the test. */
export interface TestVm {
  readonly identity: fleet.VmIdentity;
  readonly membership: fleetTesting.FixedMembership;
  readonly configuration: MonotonicConfiguration;
  readonly metrics: kernel.Metrics;
  readonly limiter: limits.RateLimiter;
  readonly process: TestProcess;
  state: "alive" | "paused" | "leaving" | "dead";
}

/** Options of a test fleet. */
export interface FleetOptions {
  readonly vmCount: number;
  readonly vmLimit: number;
  readonly workspaces: readonly model.Workspace[];
  readonly margins?: limits.SafetyMargins;
  readonly reservedPolicy?: limits.ReservedPolicy;
  /** Creates another limiter than the escrow limiter. */
  readonly createLimiter?: (parts: limits.EscrowLimiterParts) => limits.RateLimiter;
  /** Speed of a VM's clock relative to real time. */
  readonly getClockSpeed?: (index: number) => number;
}

const WAIT_MILLISECONDS = 1_000;

/** The VMs of one test. */
export class TestFleet {
  readonly hub: fleetTesting.MemoryHub;
  readonly vms: TestVm[] = [];
  readonly oracles = new Map<model.WorkspaceId, Oracle>();
  snapshot: configuration.Snapshot;
  readonly #options: FleetOptions;
  readonly #timers = new ProcessTimers();
  #started = 0;

  constructor(options: FleetOptions) {
    this.#options = options;
    this.hub = new fleetTesting.MemoryHub();
    const transmit = this.hub.transmit.bind(this.hub);
    // A frame in transit no longer belongs to the process of the sender.
    this.hub.transmit = (...frame) => this.#timers.run(undefined, () => transmit(...frame));
    this.snapshot = createSnapshot(1, options.vmLimit, options.workspaces);
    const now = kernel.getMonotonicMilliseconds();
    for (const workspace of options.workspaces) {
      this.oracles.set(workspace.id, new Oracle(workspace.rate, workspace.burst, now));
    }
    for (let index = 0; index < options.vmCount; index++) {
      this.addVm();
    }
    this.publishMembers();
  }

  get violations(): number {
    return [...this.oracles.values()].reduce((sum, oracle) => sum + oracle.violations, 0);
  }

  get admissions(): number {
    return [...this.oracles.values()].reduce((sum, oracle) => sum + oracle.admissions, 0);
  }

  /** Members as the platform would list them now. */
  listMembers(): fleet.Member[] {
    return this.vms.filter((vm) => vm.state !== "dead").map((vm) => ({
      ...vm.identity,
      address: "127.0.0.1:1",
      state: vm.state === "leaving" ? "leaving" as const : "live" as const,
    }));
  }

  /** The VM that should coordinate a workspace according to the given members. */
  getCoordinator(
    workspace: model.WorkspaceId,
    members: readonly fleet.Member[] = this.listMembers(),
  ): TestVm {
    const self = kernel.getDefined(this.vms[0], "The fleet has a VM.").identity;
    const owners = new shards.ShardOwners(new fleetTesting.FixedMembership(self, members));
    const owner = owners.getOwner(shards.getShard(workspace));
    return kernel.getDefined(
      this.vms.find((vm) => vm.identity.vm === owner),
      "The owner is a VM of the test.",
    );
  }

  /** Sends the current list of members to the selected VMs; the others keep their list. */
  publishMembers(isUpdated: (vm: TestVm) => boolean = () => true): void {
    const members = this.listMembers();
    for (const vm of this.vms) {
      if (vm.state !== "dead" && isUpdated(vm)) {
        vm.membership.set(members);
      }
    }
  }

  /** Starts a VM that no other VM lists yet. */
  addVm(): TestVm {
    const index = this.#started++;
    const identity: fleet.VmIdentity = {
      vm: model.createVmId(`vm-${index}`),
      incarnation: `incarnation-${index}` as model.Incarnation,
      dataCentre: model.createDataCentreId(`dc-${index % 4}`),
    };
    const member: fleet.Member = { ...identity, address: "127.0.0.1:1", state: "live" };
    const membership = new fleetTesting.FixedMembership(identity, [member]);
    const settable = new MonotonicConfiguration(this.snapshot);
    const metrics = new kernel.Metrics();
    const speed = this.#options.getClockSpeed?.(index) ?? 1;
    const process: TestProcess = { isPaused: false, dueTimers: [] };
    const parts: limits.EscrowLimiterParts = {
      configuration: settable,
      network: this.#connect(identity, process),
      membership,
      metrics,
      logger: new kernel.ComponentLogger(kernel.createSilentLogger(), "limits"),
    };
    const limiter = this.#options.createLimiter?.(parts) ?? new limits.EscrowLimiter(parts, {
      ...(this.#options.margins === undefined ? {} : { margins: this.#options.margins }),
      ...(this.#options.reservedPolicy === undefined
        ? {}
        : { reservedPolicy: this.#options.reservedPolicy }),
      now: () => kernel.getMonotonicMilliseconds() * speed,
    });
    this.#timers.run(process, () => void limiter.start?.());
    const vm: TestVm = {
      identity,
      membership,
      configuration: settable,
      metrics,
      limiter,
      process,
      state: "alive",
    };
    this.vms.push(vm);
    return vm;
  }

  kill(vm: TestVm): void {
    vm.state = "dead";
    void vm.limiter.stop?.();
    this.hub.disconnect(vm.identity.vm);
  }

  /** Suspends the process: its messages and timers are deferred until it is resumed. */
  pause(vm: TestVm): void {
    vm.state = "paused";
    vm.process.isPaused = true;
    this.hub.pause(vm.identity.vm);
  }

  resume(vm: TestVm): void {
    vm.state = "alive";
    vm.process.isPaused = false;
    for (const fire of vm.process.dueTimers.splice(0)) {
      fire();
    }
    this.hub.resume(vm.identity.vm);
  }

  /** Drains a VM and then stops it. */
  async drain(vm: TestVm): Promise<void> {
    vm.state = "leaving";
    await this.#timers.run(vm.process, () => vm.limiter.drain?.(kernel.getMonotonicMilliseconds()));
    if (vm.state === "leaving") {
      this.kill(vm);
    }
  }

  /** Cuts or restores one direction between two VMs. */
  setCut(from: TestVm, to: TestVm, cut: boolean): void {
    this.hub.getLink(from.identity.vm, to.identity.vm).cut = cut;
  }

  /**
   * Sends a request to a VM. The oracle records an admission at the time of the decision.
   *
   * @param onDecision Called with the decision and the time that it took.
   */
  request(
    vm: TestVm,
    workspace: model.WorkspaceId,
    onDecision: (admitted: boolean, waitedMilliseconds: number) => void = () => {},
  ): void {
    const declared = kernel.getDefined(
      vm.configuration.getSnapshot().findWorkspace(workspace),
      "The test knows its workspaces.",
    );
    const now = kernel.getMonotonicMilliseconds();
    const settle = (decision: limits.RateDecision) => {
      const settled = kernel.getMonotonicMilliseconds();
      if (decision.isOk()) {
        this.oracles.get(workspace)?.record(settled);
      }
      onDecision(decision.isOk(), settled - now);
    };
    const decision = this.#timers.run(
      vm.process,
      () => vm.limiter.admit(declared, now * 2 + WAIT_MILLISECONDS),
    );
    if (decision instanceof Promise) {
      void decision.then(settle);
    } else {
      settle(decision);
    }
  }

  stop(): void {
    for (const vm of this.vms) {
      if (vm.state !== "dead") {
        this.kill(vm);
      }
    }
    this.#timers.restore();
  }

  #connect(identity: fleet.VmIdentity, owner: TestProcess): fleet.PeerNetwork {
    const network = this.hub.connect(identity);
    const deliver = network.deliver.bind(network);
    network.deliver = (from, frame) => this.#timers.run(owner, () => deliver(from, frame));
    return network;
  }
}
