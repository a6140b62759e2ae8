/**
 * The VMs of an experiment, distributed over worker processes, and the platform's list of them.
 */

import * as kernel from "@hemlockwalk/kernel";
import * as standins from "@hemlockwalk/standins";
import * as deployments from "../deployments.ts";
import type * as commands from "../emulator/commands.ts";
import * as peerRelay from "../emulator/peer_relay.ts";
import * as workerHandle from "../emulator/worker_handle.ts";
import * as ports from "../free_port.ts";
import type * as types from "../types.ts";
import type * as releaseNotes from "./release_note.ts";

/** VMs in the worker whose process scenarios pause or kill. */
const SMALL_HOST_VM_COUNT = 2;

const LARGE_HOST_COUNT = 4;

/** Ports of the listener, the admin listener, the peer relay and the peer listener. */
const PORTS_PER_VM = 4;

const READY_TIMEOUT_MILLISECONDS = 60_000;
const READY_POLL_MILLISECONDS = 100;

/** Delay after which the platform's list of VMs reflects a change. */
const LIST_LAG_MILLISECONDS = 2_000;

/** Delay after which the platform's balancer stops using a killed VM. */
const BALANCER_LAG_MILLISECONDS = 1_000;

interface Host {
  readonly worker: workerHandle.WorkerHandle;
  readonly vms: commands.VmPlan[];
}

/** Called with the listeners on the balancer's list whenever the list changes. */
export type ListenersObserver = (listeners: readonly string[]) => Promise<void>;

/** Starts and stops the VMs of an experiment, and injects faults into them. */
export class VmFleet {
  readonly platform = new standins.PlatformStandin();
  readonly #deployment: types.DeploymentPlan;
  readonly #variant: commands.Variant;
  readonly #secretFile: string;
  readonly #smallHost: Host = { worker: createVmHost(), vms: [] };
  readonly #largeHosts: Host[] = Array.from(
    { length: LARGE_HOST_COUNT },
    () => ({ worker: createVmHost(), vms: [] }),
  );
  #platformPort = 0;
  #observer: ListenersObserver = () => Promise.resolve();
  #plannedCount = 0;

  constructor(deployment: types.DeploymentPlan, variant: commands.Variant, secretFile: string) {
    this.#deployment = deployment;
    this.#variant = variant;
    this.#secretFile = secretFile;
  }

  /** Listener addresses of all running VMs. */
  get listeners(): string[] {
    return this.#listVms().map((vm) => vm.listener);
  }

  /** Sets the observer of changes to the balancer's list. */
  observeListeners(observer: ListenersObserver): void {
    this.#observer = observer;
  }

  async start(): Promise<void> {
    await this.platform.start();
    this.#platformPort = Number(new URL(this.platform.address).port);
    const plans = await this.#planVms(this.#deployment.vms);
    this.#smallHost.vms.push(...plans.slice(0, SMALL_HOST_VM_COUNT));
    for (const [index, plan] of plans.slice(SMALL_HOST_VM_COUNT).entries()) {
      this.#largeHosts[index % LARGE_HOST_COUNT]?.vms.push(plan);
    }
    this.#publishList();
    await Promise.all(this.#listHosts().map((host) => this.#startVms(host.worker, host.vms)));
  }

  /** Publishes a release note as the latest one of the chain. */
  publish({ number, text, digest }: releaseNotes.NoteText): void {
    this.platform.publish(`notes/${number}`, text);
    this.platform.publish("head", JSON.stringify({ number, digest }));
  }

  /** Waits until every VM is ready and has the given note in force. */
  async waitForNote(number: number): Promise<void> {
    const deadline = performance.now() + READY_TIMEOUT_MILLISECONDS;
    for (;;) {
      const reports = await this.report();
      if (reports.every((report) => report.ready && report.note >= number)) {
        return;
      }
      if (performance.now() > deadline) {
        throw new Error(`Not every VM has note ${number} in force.`);
      }
      await kernel.sleep(READY_POLL_MILLISECONDS);
    }
  }

  async report(): Promise<commands.VmReport[]> {
    const reports = await Promise.all(
      this.#listHosts().map((host) => host.worker.call("reportVms", undefined)),
    );
    return reports.flat();
  }

  /** Returns the processor time that all VM processes have used so far. */
  async getCpuMilliseconds(): Promise<number> {
    const reports = await Promise.all(
      this.#listHosts().map((host) => host.worker.call("reportProcess", undefined)),
    );
    return reports.reduce((sum, report) => sum + report.cpuMilliseconds, 0);
  }

  /** Returns the total memory of all VM processes. */
  async getResidentBytes(): Promise<number> {
    const reports = await Promise.all(
      this.#listHosts().map((host) => host.worker.call("reportProcess", undefined)),
    );
    return reports.reduce((sum, report) => sum + report.residentBytes, 0);
  }

  /** Returns the ejections that the VMs have logged so far. */
  async getEjections(): Promise<commands.EjectionRecord[]> {
    const ejections = await Promise.all(
      this.#listHosts().map((host) => host.worker.call("takeEjections", undefined)),
    );
    return ejections.flat();
  }

  /** Suspends the VMs of the small host. Callers can still connect to their listeners. */
  pauseSmallHost(): void {
    this.#smallHost.worker.pause();
  }

  resumeSmallHost(): void {
    this.#smallHost.worker.resume();
  }

  /** Kills the VMs of the small host without a graceful stop. */
  async killSmallHost(): Promise<void> {
    this.#smallHost.vms.splice(0);
    await this.#smallHost.worker.kill();
    setTimeout(() => void this.#observer(this.listeners), BALANCER_LAG_MILLISECONDS);
    setTimeout(() => this.#publishList(), LIST_LAG_MILLISECONDS);
  }

  /** Stops one VM gracefully and starts another in its place. */
  async replaceVm(index: number): Promise<void> {
    const host = this.#largeHosts[index % LARGE_HOST_COUNT];
    const stoppedVm = host?.vms.shift();
    if (host === undefined || stoppedVm === undefined) {
      return;
    }
    const [plan] = await this.#planVms(1);
    if (plan === undefined) {
      return;
    }
    await this.#observer(this.listeners);
    await Promise.all([
      host.worker.call("stopVm", { vm: stoppedVm.vm }),
      this.#startVms(host.worker, [plan]),
    ]);
    host.vms.push(plan);
    await this.#observer(this.listeners);
    setTimeout(() => this.#publishList(), LIST_LAG_MILLISECONDS);
  }

  /** Closes the platform's listener and all its connections. Its values are kept. */
  async stopPlatform(): Promise<void> {
    await this.platform.stop();
  }

  /** Reopens the platform's listener at the same address. */
  async restartPlatform(): Promise<void> {
    await this.platform.start(this.#platformPort);
  }

  /** Starts or stops dropping the traffic from one data centre's VMs to those of another. */
  async cutDataCentres(from: number, to: number, cut: boolean): Promise<void> {
    const request = {
      from: peerRelay.getDataCentreAddress(from),
      to: peerRelay.getDataCentreAddress(to),
      cut,
    };
    await Promise.all(
      this.#listHosts().map((host) => host.worker.call("cutDataCentres", request)),
    );
  }

  async stop(): Promise<void> {
    await Promise.all(this.#listHosts().map((host) => host.worker.kill()));
    await this.platform.stop();
  }

  async #planVms(count: number): Promise<commands.VmPlan[]> {
    const freePorts = await ports.findFreePorts(count * PORTS_PER_VM);
    return Array.from({ length: count }, (_, index) => {
      const number = this.#plannedCount++;
      const [listener, admin, peers, peerListener] = freePorts.slice(index * PORTS_PER_VM);
      const position = number % this.#deployment.dataCentres.length;
      const host = peerRelay.getDataCentreAddress(position);
      return {
        vm: `vm-${number + 1}`,
        dataCentre: deployments.getDataCentre(this.#deployment, number),
        listener: `127.0.0.1:${listener}`,
        admin: `127.0.0.1:${admin}`,
        peers: `${host}:${peers}`,
        peerListener: `${host}:${peerListener}`,
      };
    });
  }

  #startVms(
    worker: workerHandle.WorkerHandle,
    vms: readonly commands.VmPlan[],
  ): Promise<undefined> {
    return worker.call("startVms", {
      vms: [...vms],
      platformAddress: this.platform.address,
      secretFile: this.#secretFile,
      variant: this.#variant,
    });
  }

  #publishList(): void {
    const list = this.#listVms().map(({ vm, peers, dataCentre }) => ({
      vm,
      address: peers,
      dataCentre,
      state: "live",
    }));
    this.platform.publish("vms", JSON.stringify({ vms: list }));
  }

  #listVms(): commands.VmPlan[] {
    return [...this.#smallHost.vms, ...this.#largeHosts.flatMap((host) => host.vms)];
  }

  /** Lists the hosts that have VMs. */
  #listHosts(): Host[] {
    return [this.#smallHost, ...this.#largeHosts].filter((host) => host.vms.length > 0);
  }
}

function createVmHost(): workerHandle.WorkerHandle {
  return new workerHandle.WorkerHandle("vm_host_main.js");
}
