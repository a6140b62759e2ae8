/**
 * The command `npm run slopes`: measures the control overhead of a VM by the size of the fleet.
 *
 * Starts fleets of several sizes over real sockets, runs them without callers, and prints the
 * bytes, processor time and memory per VM.
 */

import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import process from "node:process";
import * as kernel from "@hemlockwalk/kernel";
import * as citty from "citty";
import * as deployments from "./deployments.ts";
import type * as commands from "./emulator/commands.ts";
import * as metricsText from "./experiment/metrics_text.ts";
import * as releaseNotes from "./experiment/release_note.ts";
import * as vmFleet from "./experiment/vm_fleet.ts";
import type * as types from "./types.ts";

const DEFAULT_SIZES = "5,10,20,40";
const WARM_UP_MILLISECONDS = 20_000;
const MEASUREMENT_MILLISECONDS = 20_000;

/** Address of the targets. Nothing listens on it, and no request is sent to it. */
const UNUSED_ADDRESS = "127.0.0.1:9";

const PARTS = ["membership", "configuration", "limits", "targets", "claims"] as const;

/** The control overhead of one VM in a fleet of one size. */
interface ControlOverhead {
  readonly vms: number;
  readonly sentBytesPerSecond: Readonly<Record<string, number>>;
  /** Bytes sent and received, including the heartbeats of links. */
  readonly linkBytesPerSecond: number;
  readonly framesPerSecond: number;
  readonly cpuShare: number;
  readonly residentMegabytes: number;
  readonly platformCallsPerSecond: number;
}

async function measureSize(
  deployment: types.DeploymentPlan,
  secretFile: string,
): Promise<ControlOverhead> {
  const fleet = new vmFleet.VmFleet(deployment, "built", secretFile);
  try {
    await fleet.start();
    publishNote(fleet, deployment);
    await fleet.waitForNote(1);
    await kernel.sleep(WARM_UP_MILLISECONDS);
    const cpuBefore = await fleet.getCpuMilliseconds();
    const before = await fleet.report();
    const callsBefore = fleet.platform.calls;
    await kernel.sleep(MEASUREMENT_MILLISECONDS);
    const after = await fleet.report();
    const cpuMilliseconds = await fleet.getCpuMilliseconds() - cpuBefore;
    const perVmSecond = (value: number) =>
      value / deployment.vms / (MEASUREMENT_MILLISECONDS / 1_000);
    const getRatePerVm = (name: string, label?: string) =>
      perVmSecond(sumMetric(after, name, label) - sumMetric(before, name, label));
    return {
      vms: deployment.vms,
      sentBytesPerSecond: Object.fromEntries(
        PARTS.map((part) => [part, getRatePerVm("hemlockwalk_peer_sent_bytes_total", part)]),
      ),
      linkBytesPerSecond: getRatePerVm("hemlockwalk_peer_bytes_total"),
      framesPerSecond: getRatePerVm("hemlockwalk_peer_frames_total"),
      cpuShare: perVmSecond(cpuMilliseconds) / 1_000,
      residentMegabytes: await fleet.getResidentBytes() / deployment.vms / 1_000_000,
      platformCallsPerSecond: (fleet.platform.calls - callsBefore) /
        (MEASUREMENT_MILLISECONDS / 1_000),
    };
  } finally {
    await fleet.stop();
  }
}

function publishNote(fleet: vmFleet.VmFleet, deployment: types.DeploymentPlan): void {
  const addresses: Record<string, string> = {};
  for (const service of deployment.services) {
    for (let number = 1; number <= service.targets; number++) {
      addresses[deployments.getTargetId(service, number)] = UNUSED_ADDRESS;
    }
  }
  fleet.publish(releaseNotes.createFirstNote(deployment, addresses));
}

function sumMetric(
  reports: readonly commands.VmReport[],
  name: string,
  part: string | undefined,
): number {
  return metricsText.listSamples(reports, name)
    .filter((sample) => part === undefined || sample.labels["part"] === part)
    .reduce((sum, sample) => sum + sample.value, 0);
}

function formatOverhead(overhead: ControlOverhead): string {
  const cells = [
    String(overhead.vms),
    ...PARTS.map((part) => (overhead.sentBytesPerSecond[part] ?? 0).toFixed(0)),
    overhead.linkBytesPerSecond.toFixed(0),
    overhead.framesPerSecond.toFixed(1),
    `${(overhead.cpuShare * 100).toFixed(2)}%`,
    overhead.residentMegabytes.toFixed(0),
    overhead.platformCallsPerSecond.toFixed(1),
  ];
  return `| ${cells.join(" | ")} |`;
}

const slopesCommand = citty.defineCommand({
  meta: {
    name: "slopes",
    description: "Measures the control overhead of a VM by the size of the fleet.",
  },
  args: {
    sizes: { type: "string", default: DEFAULT_SIZES, description: "Numbers of VMs." },
    deployment: { type: "string", default: "pitchwise" },
  },
  async run({ args }) {
    const deployment = deployments.DEPLOYMENTS.get(args.deployment);
    if (deployment === undefined) {
      throw new Error(`Unknown deployment '${args.deployment}'.`);
    }
    const folder = fs.mkdtempSync(path.join(os.tmpdir(), "hemlockwalk-slopes-"));
    const secretFile = path.join(folder, "peer-secret");
    fs.writeFileSync(secretFile, "a secret that only this measurement uses\n");
    const titles = [
      "VMs",
      ...PARTS.map((part) => `${part}, B/s sent`),
      "links, B/s both ways",
      "frames/s",
      "core",
      "MB",
      "platform calls/s, fleet",
    ];
    process.stdout.write(`| ${titles.join(" | ")} |\n`);
    process.stdout.write(`|${titles.map(() => " --- |").join("")}\n`);
    for (const size of args.sizes.split(",").map(Number)) {
      const plan = { ...deployment, vms: size, vmLimit: Math.ceil(size * 1.1) };
      process.stdout.write(`${formatOverhead(await measureSize(plan, secretFile))}\n`);
    }
    fs.rmSync(folder, { recursive: true });
  },
});

await citty.runMain(slopesCommand);
