/**
 * The VMs of an experiment, spread over worker processes, and the platform's view of them.
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

/** VMs in a worker whose process a scenario pauses or kills. */
const SMALL_HOST_VMS = 2;

const LARGE_HOSTS = 4;

/** Listener, admin listener, peer relay and peer listener. */
const PORTS_FOR_VM = 4;

const READY_TIMEOUT_MILLISECONDS = 60_000;
const READY_POLL_MILLISECONDS = 100;

/** The platform's list of VMs lags by this much. */
const LIST_LAG_MILLISECONDS = 2_000;

/** The platform's balancer notices an ended VM after this time. */
const BALANCER_LAG_MILLISECONDS = 1_000;

interface Host {
  readonly worker: workerHandle.WorkerHandle;
  readonly vms: commands.VmPlan[];
}

/** Called with the listeners that the balancer knows, whenever they change. */
export type ListenersObserver = (listeners: readonly string[]) => Promise<void>;

/** Starts, disturbs and stops the VMs of an experiment. */
export class VmFleet {
  readonly platform = new standins.PlatformStandin();
  readonly #deployment: types.DeploymentPlan;
  readonly #variant: commands.Variant;
  readonly #secretFile: string;
  readonly #small: Host = { worker: createVmHost(), vms: [] };
  readonly #large: Host[] = Array.from(
    { length: LARGE_HOSTS },
    () => ({ worker: createVmHost(), vms: [] }),
  );
  #platformPort = 0;
  #observer: ListenersObserver = () => Promise.resolve();
  #started = 0;

  constructor(deployment: types.DeploymentPlan, variant: commands.Variant, secretFile: string) {
    this.#deployment = deployment;
    this.#variant = variant;
    this.#secretFile = secretFile;
  }

  /** Listeners of all VMs that run. */
  get listeners(): string[] {
    return this.#listVms().map((vm) => vm.listener);
  }

  /** Sets who learns of changes of the balancer's list. */
  observeListeners(observer: ListenersObserver): void {
    this.#observer = observer;
  }

  async start(): Promise<void> {
    await this.platform.start();
    this.#platformPort = Number(new URL(this.platform.address).port);
    const plans = await this.#planVms(this.#deployment.vms);
    this.#small.vms.push(...plans.slice(0, SMALL_HOST_VMS));
    for (const [index, plan] of plans.slice(SMALL_HOST_VMS).entries()) {
      this.#large[index % LARGE_HOSTS]?.vms.push(plan);
    }
    this.#publishList();
    await Promise.all(this.#listHosts().map((host) => this.#startVms(host.worker, host.vms)));
  }

  /** Publishes a release note as the newest of the chain. */
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

  /** Processor time that all VMs have used so far. */
  async getCpuMilliseconds(): Promise<number> {
    const reports = await Promise.all(
      this.#listHosts().map((host) => host.worker.call("reportProcess", undefined)),
    );
    return reports.reduce((sum, report) => sum + report.cpuMilliseconds, 0);
  }

  /** Memory of all VM processes together. */
  async getResidentBytes(): Promise<number> {
    const reports = await Promise.all(
      this.#listHosts().map((host) => host.worker.call("reportProcess", undefined)),
    );
    return reports.reduce((sum, report) => sum + report.residentBytes, 0);
  }

  /** Ejections that the VMs have logged so far. */
  async takeEjections(): Promise<commands.EjectionRecord[]> {
    const ejections = await Promise.all(
      this.#listHosts().map((host) => host.worker.call("takeEjections", undefined)),
    );
    return ejections.flat();
  }

  /** Keeps the VMs of the small host from running. Callers still reach their listeners. */
  pauseSmallHost(): void {
    this.#small.worker.pause();
  }

  resumeSmallHost(): void {
    this.#small.worker.resume();
  }

  /** Ends the VMs of the small host without notice. */
  async killSmallHost(): Promise<void> {
    this.#small.vms.splice(0);
    await this.#small.worker.kill();
    setTimeout(() => void this.#observer(this.listeners), BALANCER_LAG_MILLISECONDS);
    setTimeout(() => this.#publishList(), LIST_LAG_MILLISECONDS);
  }

  /** Stops one VM gracefully and starts another in its place. */
  async replaceVm(index: number): Promise<void> {
    const host = this.#large[index % LARGE_HOSTS];
    const leaving = host?.vms.shift();
    if (host === undefined || leaving === undefined) {
      return;
    }
    const [plan] = await this.#planVms(1);
    if (plan === undefined) {
      return;
    }
    await this.#observer(this.listeners);
    await Promise.all([
      host.worker.call("stopVm", { vm: leaving.vm }),
      this.#startVms(host.worker, [plan]),
    ]);
    host.vms.push(plan);
    await this.#observer(this.listeners);
    setTimeout(() => this.#publishList(), LIST_LAG_MILLISECONDS);
  }

  /** Closes the platform's listener and all its connections. Its values stay. */
  async takePlatformAway(): Promise<void> {
    await this.platform.stop();
  }

  /** Opens the platform's listener again at the same address. */
  async bringPlatformBack(): Promise<void> {
    await this.platform.start(this.#platformPort);
  }

  /** Loses, or passes again, what VMs of one data centre send to those of another. */
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
    const free = await ports.findFreePorts(count * PORTS_FOR_VM);
    return Array.from({ length: count }, (_, index) => {
      const number = this.#started++;
      const [listener, admin, peers, peerListener] = free.slice(index * PORTS_FOR_VM);
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
    return [...this.#small.vms, ...this.#large.flatMap((host) => host.vms)];
  }

  /** The workers that have VMs. */
  #listHosts(): Host[] {
    return [this.#small, ...this.#large].filter((host) => host.vms.length > 0);
  }
}

function createVmHost(): workerHandle.WorkerHandle {
  return new workerHandle.WorkerHandle("vm_host_main.js");
}
