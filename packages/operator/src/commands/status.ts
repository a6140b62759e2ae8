/**
 * `hemlockctl status`: shows the configuration that is in force on running VMs.
 */

import process from "node:process";
import type * as configuration from "@hemlockwalk/configuration";
import * as citty from "citty";
import * as undici from "undici";
import * as output from "../output.ts";

const TIMEOUT_MILLISECONDS = 3_000;

/** The fields of the admin listener's response that this command reads. */
interface VmStatus {
  readonly vm: string;
  readonly dataCentre: string;
  readonly state: string;
  readonly configuration: configuration.ConfigurationStatus | null;
}

async function readStatus(address: string): Promise<VmStatus | undefined> {
  const base = address.includes("://") ? address : `http://${address}`;
  try {
    const response = await undici.request(`${base}/status`, {
      signal: AbortSignal.timeout(TIMEOUT_MILLISECONDS),
    });
    const body = await response.body.json();
    return response.statusCode === 200 ? body as VmStatus : undefined;
  } catch {
    return undefined;
  }
}

/** Describes the status of a VM and lists the problems that operators must examine. */
export function describeStatus(status: VmStatus): { line: string; alarms: string[] } {
  const { vm, dataCentre, state, configuration: current } = status;
  if (current === null) {
    return { line: `${vm} (${dataCentre}) ${state}`, alarms: [`${vm}: no configuration`] };
  }
  const digest = current.digest?.slice(0, 12) ?? "none";
  const line = `${vm} (${dataCentre}) ${state} note ${current.number} ${digest}`;
  const alarms: string[] = [];
  if (!current.ready) {
    alarms.push(`${vm}: not ready`);
  }
  if (current.highestHeard > current.number) {
    alarms.push(`${vm}: behind, note ${current.highestHeard} exists`);
  }
  for (const fork of current.forks) {
    alarms.push(
      `${vm}: fork at note ${fork.number}: ${fork.inForce} in force here, ` +
        `${fork.refused} at ${fork.seenAt}`,
    );
  }
  for (const note of current.refusedNotes) {
    alarms.push(...note.findings.map((finding) => `${vm}: refused ${finding}`));
  }
  return { line, alarms };
}

async function printStatus(addresses: readonly string[]): Promise<void> {
  const digests = new Map<number, string>();
  for (const address of addresses) {
    const status = await readStatus(address);
    if (status === undefined) {
      output.printNotice(`${address}: no valid response`);
      process.exitCode ??= output.EXIT_UNREACHABLE;
      continue;
    }
    const { line, alarms } = describeStatus(status);
    output.printLine(line);
    const number = status.configuration?.number ?? 0;
    const digest = status.configuration?.digest ?? "";
    const other = digests.get(number);
    if (other !== undefined && other !== digest) {
      alarms.push(`${status.vm}: note ${number} is another one than that of a VM above`);
    }
    digests.set(number, digest);
    alarms.forEach(output.printNotice);
    if (alarms.length > 0) {
      process.exitCode = output.EXIT_ALARM;
    }
  }
}

export const statusCommand = citty.defineCommand({
  meta: { name: "status", description: "Shows the configuration that is in force on running VMs." },
  args: {
    address: {
      type: "positional",
      required: true,
      description: "Admin addresses of VMs, one or more.",
    },
  },
  run: ({ args }) => output.runCommand(() => printStatus(args._)),
});
