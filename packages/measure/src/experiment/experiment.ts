/**
 * Runs one scenario on one deployment, over real sockets on loopback.
 */

import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import * as kernel from "@hemlockwalk/kernel";
import type * as commands from "../emulator/commands.ts";
import * as workerHandle from "../emulator/worker_handle.ts";
import * as deployments from "../deployments.ts";
import type * as scenarios from "../scenario.ts";
import type * as types from "../types.ts";
import * as releaseNotes from "./release_note.ts";
import * as vmFleet from "./vm_fleet.ts";

const CALLER_HOST_COUNT = 2;

/** Time after the end of the load in which running requests can end. */
const COOL_DOWN_MILLISECONDS = 1_000;

/** The data collected in one run of a scenario. */
export interface ExperimentData {
  readonly deployment: types.DeploymentPlan;
  readonly scenario: scenarios.Scenario;
  readonly seed: number;
  readonly variant: commands.Variant;
  /** Requests that started after the warm-up. Times are relative to its end. */
  readonly records: readonly types.RequestRecord[];
  readonly runs: readonly types.RunRecord[];
  readonly attempts: readonly types.AttemptRecord[];
  /** Processor time of all VM processes, from the end of the warm-up to the end of the load. */
  readonly vmCpuMilliseconds: number;
  readonly vmResidentBytes: number;
  readonly vmReports: readonly commands.VmReport[];
  readonly ejections: readonly commands.EjectionRecord[];
}

/** One run of a scenario. */
export class Experiment {
  readonly #deployment: types.DeploymentPlan;
  readonly #scenario: scenarios.Scenario;
  readonly #seed: number;
  readonly #variant: commands.Variant;
  readonly #folder = fs.mkdtempSync(path.join(os.tmpdir(), "hemlockwalk-measure-"));
  readonly #fleet: vmFleet.VmFleet;
  readonly #targetHost = new workerHandle.WorkerHandle("target_host_main.js");
  readonly #callerHosts = Array.from(
    { length: CALLER_HOST_COUNT },
    () => new workerHandle.WorkerHandle("caller_host_main.js"),
  );
  #lastNote: releaseNotes.NoteText | undefined;

  constructor(
    deployment: types.DeploymentPlan,
    scenario: scenarios.Scenario,
    seed: number,
    variant: commands.Variant,
  ) {
    this.#deployment = deployment;
    this.#scenario = scenario;
    this.#seed = seed;
    this.#variant = variant;
    const secretFile = path.join(this.#folder, "peer-secret");
    fs.writeFileSync(secretFile, "a secret that only this measurement uses\n");
    this.#fleet = new vmFleet.VmFleet(deployment, variant, secretFile);
  }

  /** Starts the fleet, runs the scenario and stops the fleet. */
  async run(): Promise<ExperimentData> {
    try {
      await this.#startFleet();
      return await this.#measure();
    } finally {
      await this.#stop();
    }
  }

  async #startFleet(): Promise<void> {
    const addresses = await this.#targetHost.call("startTargets", {
      seed: this.#seed,
      deployment: this.#deployment,
    });
    await this.#fleet.start();
    this.#publish(releaseNotes.createFirstNote(this.#deployment, addresses));
    await this.#fleet.waitForNote(1);
    this.#fleet.observeListeners(async (listeners) => {
      await this.#callAll("setListeners", { listeners });
    });
  }

  async #measure(): Promise<ExperimentData> {
    const warmUp = this.#scenario.warmUpSeconds * 1_000;
    await this.#targetHost.call("startClock", undefined);
    await this.#startLoad();
    await kernel.sleep(warmUp);
    const cpuBefore = await this.#fleet.getCpuMilliseconds();
    const start = performance.now();
    await this.#runEvents(start);
    await waitUntil(start + this.#scenario.durationSeconds * 1_000);
    const vmCpuMilliseconds = await this.#fleet.getCpuMilliseconds() - cpuBefore;
    const records = await this.#stopLoad();
    await kernel.sleep(COOL_DOWN_MILLISECONDS);
    const targetRecords = await this.#targetHost.call("takeRecords", undefined);
    return {
      deployment: this.#deployment,
      scenario: this.#scenario,
      seed: this.#seed,
      variant: this.#variant,
      records: shiftTimes(records, warmUp).filter((record) => record.startMilliseconds >= 0),
      runs: shiftTimes(targetRecords.runs, warmUp),
      attempts: shiftTimes(targetRecords.attempts, warmUp),
      vmCpuMilliseconds,
      vmResidentBytes: await this.#fleet.getResidentBytes(),
      vmReports: await this.#fleet.report(),
      ejections: await this.#fleet.getEjections(),
    };
  }

  async #startLoad(): Promise<void> {
    const { listeners } = this.#fleet;
    await Promise.all(this.#callerHosts.map((host, offset) =>
      host.call("startLoad", {
        seed: this.#seed * CALLER_HOST_COUNT + offset,
        deployment: this.#deployment,
        listeners,
        load: this.#scenario.load,
        writes: this.#scenario.writes,
        offset,
        stride: CALLER_HOST_COUNT,
      })
    ));
  }

  async #stopLoad(): Promise<types.RequestRecord[]> {
    const records = await Promise.all(
      this.#callerHosts.map((host) => host.call("stopLoad", undefined)),
    );
    return records.flat();
  }

  /** Runs all events concurrently and waits until each has ended. */
  async #runEvents(start: number): Promise<void> {
    await Promise.all(this.#scenario.events.map((event) => this.#runEvent(event, start)));
  }

  async #runEvent(event: scenarios.ScenarioEvent, start: number): Promise<void> {
    const waitSeconds = (seconds: number) => waitUntil(start + seconds * 1_000);
    await waitSeconds(event.fromSeconds);
    switch (event.kind) {
      case "target_fault": {
        const target = this.getTargetId(event.service, event.target);
        await this.#targetHost.call("setFault", { target, fault: event.fault });
        await waitSeconds(event.untilSeconds);
        await this.#targetHost.call("setFault", { target, fault: undefined });
        return;
      }
      case "pause_vms":
        this.#fleet.pauseSmallHost();
        await waitSeconds(event.untilSeconds);
        this.#fleet.resumeSmallHost();
        return;
      case "kill_vms":
        await this.#fleet.killSmallHost();
        return;
      case "replace_vms":
        for (let index = 0; index < event.count; index++) {
          await waitSeconds(event.fromSeconds + index * event.everySeconds);
          await this.#fleet.replaceVm(index);
        }
        return;
      case "cut_data_centres":
        await this.#fleet.cutDataCentres(event.from, event.to, true);
        await waitSeconds(event.untilSeconds);
        await this.#fleet.cutDataCentres(event.from, event.to, false);
        return;
      case "platform_away":
        await this.#fleet.stopPlatform();
        await waitSeconds(event.untilSeconds);
        await this.#fleet.restartPlatform();
        return;
      case "withdraw_key":
        this.#withdrawKey(event.workspace);
        return;
      case "surge":
        await this.#callAll("setLoadFactor", {
          workspace: event.workspace,
          factor: event.factor,
        });
        await waitSeconds(event.untilSeconds);
        await this.#callAll("setLoadFactor", { workspace: event.workspace, factor: 1 });
        return;
    }
  }

  /** Returns the identifier of a target by the positions of its service and itself. */
  getTargetId(service: number, target: number): string {
    const plan = this.#deployment.services[service];
    if (plan === undefined || target >= plan.targets) {
      throw new Error(`The deployment has no target ${target} of service ${service}.`);
    }
    return deployments.getTargetId(plan, target + 1);
  }

  #withdrawKey(workspace: number): void {
    const plan = this.#deployment.workspaces[workspace];
    if (plan === undefined || this.#lastNote === undefined) {
      throw new Error(`The deployment has no workspace ${workspace}.`);
    }
    this.#publish(releaseNotes.createWithdrawal(this.#lastNote, plan.key));
  }

  #publish(note: releaseNotes.NoteText): void {
    this.#fleet.publish(note);
    this.#lastNote = note;
  }

  async #callAll<Name extends "setListeners" | "setLoadFactor">(
    name: Name,
    request: commands.Commands[Name]["request"],
  ): Promise<void> {
    await Promise.all(this.#callerHosts.map((host) => host.call(name, request)));
  }

  async #stop(): Promise<void> {
    await Promise.all([...this.#callerHosts, this.#targetHost].map((host) => host.kill()));
    await this.#fleet.stop();
    fs.rmSync(this.#folder, { recursive: true });
  }
}

function shiftTimes<Item extends { readonly startMilliseconds: number }>(
  items: readonly Item[],
  byMilliseconds: number,
): Item[] {
  return items.map((item) => ({
    ...item,
    startMilliseconds: item.startMilliseconds - byMilliseconds,
  }));
}

async function waitUntil(time: number): Promise<void> {
  await kernel.sleep(time - performance.now());
}
