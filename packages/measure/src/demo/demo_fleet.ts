/**
 * The fleet of the demonstration: a platform stand-in, target stand-ins and VMs on loopback. Each
 * target and each VM runs in its own process.
 */

import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import * as url from "node:url";
import * as kernel from "@hemlockwalk/kernel";
import * as model from "@hemlockwalk/model";
import * as standins from "@hemlockwalk/standins";
import * as processes from "../child_process_handle.ts";
import * as ports from "../free_port.ts";

const VM_COUNT = 3;
const TARGET_COUNT = 3;
const READY_POLL_MILLISECONDS = 50;
const READY_TIMEOUT_MILLISECONDS = 20_000;

/** One VM of the demonstration. */
export interface DemoVm {
  readonly id: string;
  readonly address: string;
  readonly adminAddress: string;
  readonly process: processes.ChildProcessHandle;
}

/** One target of the demonstration. */
export interface DemoTarget {
  readonly id: string;
  readonly address: string;
  readonly process: processes.ChildProcessHandle;
}

/** Starts and stops the fleet and publishes its release notes. */
export class DemoFleet {
  readonly platform = new standins.PlatformStandin();
  readonly targets: DemoTarget[] = [];
  readonly vms: DemoVm[] = [];
  readonly #folder = fs.mkdtempSync(path.join(os.tmpdir(), "hemlockwalk-demo-"));
  #lastNote: { readonly number: number; readonly digest: string | null } = {
    number: 0,
    digest: null,
  };

  async start(): Promise<void> {
    await this.platform.start();
    for (let index = 1; index <= TARGET_COUNT; index++) {
      this.targets.push(await startTarget(`inspection-${index}`));
    }
    await this.#startVms();
  }

  /** Publishes the next note of the chain, with the given contents. */
  publish(contents: object): number {
    const number = this.#lastNote.number + 1;
    const text = JSON.stringify(
      { format: model.NOTE_FORMAT, number, previous: this.#lastNote.digest, ...contents },
      undefined,
      2,
    );
    const digest = model.createNoteDigest(text);
    this.platform.publish(`notes/${number}`, text);
    this.platform.publish("head", JSON.stringify({ number, digest }));
    this.#lastNote = { number, digest };
    return number;
  }

  /** Waits until every VM is ready and has the given note in force. */
  async waitForNote(number: number): Promise<void> {
    const deadline = performance.now() + READY_TIMEOUT_MILLISECONDS;
    for (const vm of this.vms) {
      while (!await hasNoteInForce(vm, number)) {
        if (performance.now() > deadline) {
          throw new Error(`${vm.id} does not have note ${number} in force.`);
        }
        await kernel.sleep(READY_POLL_MILLISECONDS);
      }
    }
  }

  /** Stops the VMs gracefully, then the targets and the platform. Returns the VMs' exit codes. */
  async stop(): Promise<(number | undefined)[]> {
    const codes = await Promise.all(this.vms.map((vm) => vm.process.terminate()));
    await Promise.all(this.targets.map((target) => target.process.kill()));
    await this.platform.stop();
    fs.rmSync(this.#folder, { recursive: true });
    return codes;
  }

  async #startVms(): Promise<void> {
    const freePorts = await ports.findFreePorts(VM_COUNT * 3);
    const secretFile = path.join(this.#folder, "peer-secret");
    fs.writeFileSync(secretFile, "a secret that only this demonstration uses\n");
    const addresses = freePorts.map((port) => `127.0.0.1:${port}`);
    const vms = Array.from({ length: VM_COUNT }, (_, index) => ({
      vm: `vm-${index + 1}`,
      listener: addresses[index * 3] ?? "",
      admin: addresses[index * 3 + 1] ?? "",
      peers: addresses[index * 3 + 2] ?? "",
    }));
    const listedVms = vms.map(({ vm, peers }) => ({
      vm,
      address: peers,
      dataCentre: "north-1",
      state: "live",
    }));
    this.platform.publish("vms", JSON.stringify({ vms: listedVms }));
    for (const vmPlan of vms) {
      const settings = {
        vm: vmPlan.vm,
        dataCentre: "north-1",
        listener: { address: vmPlan.listener },
        admin: { address: vmPlan.admin },
        platform: { addresses: [this.platform.address] },
        peers: {
          address: vmPlan.peers,
          secretFile,
          seeds: listedVms.map(({ vm, address, dataCentre }) => ({ vm, address, dataCentre })),
        },
      };
      this.vms.push(this.#startVm(settings));
    }
  }

  #startVm(settings: {
    readonly vm: string;
    readonly listener: { readonly address: string };
    readonly admin: { readonly address: string };
  }): DemoVm {
    const file = path.join(this.#folder, `${settings.vm}.jsonc`);
    fs.writeFileSync(file, JSON.stringify(settings, undefined, 2));
    return {
      id: settings.vm,
      address: `http://${settings.listener.address}`,
      adminAddress: `http://${settings.admin.address}`,
      process: new processes.ChildProcessHandle(getPackageModule("daemon", "main.js"), [
        "run",
        file,
      ]),
    };
  }
}

async function startTarget(id: string): Promise<DemoTarget> {
  const process = new processes.ChildProcessHandle(
    getPackageModule("standins", "target_main.js"),
    [id],
  );
  return { id, address: await process.readFirstLine(), process };
}

function getPackageModule(packageName: string, file: string): string {
  const packages = url.fileURLToPath(new URL("../../../../", import.meta.url));
  return path.join(packages, packageName, "dist", "src", file);
}

async function hasNoteInForce(vm: DemoVm, number: number): Promise<boolean> {
  try {
    const ready = await fetch(`${vm.adminAddress}/ready`);
    const status = await fetch(`${vm.adminAddress}/status`);
    const body = await status.json() as { configuration: { number: number } | null };
    return ready.ok && body.configuration?.number === number;
  } catch {
    // The VM is not listening yet.
    return false;
  }
}
