/**
 * `hemlockctl evacuations`: shows from the metrics pages of VMs which data centres are evacuated.
 */

import process from "node:process";
import * as citty from "citty";
import * as undici from "undici";
import * as output from "../output.ts";

const TIMEOUT_MILLISECONDS = 3_000;

const COUNT_PATTERN = /^hemlockwalk_evacuated_data_centres (\d+)$/m;
const AGE_PATTERN = /^hemlockwalk_evacuated_seconds\{data_centre="((?:[^"\\]|\\.)*)"\} (\d+)$/gm;

/** A data centre that a VM holds as evacuated. */
export interface EvacuatedDataCentre {
  readonly name: string;
  /** Time since the VM learnt of the order. */
  readonly seconds: number;
}

/** Reads a metrics page; undefined if it is that of a VM which does not know of evacuations. */
export function readEvacuated(page: string): EvacuatedDataCentre[] | undefined {
  if (!COUNT_PATTERN.test(page)) {
    return undefined;
  }
  return [...page.matchAll(AGE_PATTERN)]
    .map(([, name = "", seconds = ""]) => ({ name, seconds: Number(seconds) }))
    .sort((left, right) => left.name < right.name ? -1 : 1);
}

async function readPage(address: string): Promise<string | undefined> {
  const base = address.includes("://") ? address : `http://${address}`;
  try {
    const response = await undici.request(`${base}/metrics`, {
      signal: AbortSignal.timeout(TIMEOUT_MILLISECONDS),
    });
    const text = await response.body.text();
    return response.statusCode === 200 ? text : undefined;
  } catch {
    return undefined;
  }
}

async function printEvacuations(addresses: readonly string[]): Promise<void> {
  const pages = await Promise.all(addresses.map(readPage));
  const found = new Set<string>();
  for (const [index, address] of addresses.entries()) {
    const page = pages[index];
    if (page === undefined) {
      output.printNotice(`${address}: no valid response`);
      process.exitCode ??= output.EXIT_UNREACHABLE;
      continue;
    }
    const evacuated = readEvacuated(page);
    if (evacuated === undefined) {
      output.printNotice(`${address}: follows no orders to evacuate`);
      process.exitCode = output.EXIT_ALARM;
      continue;
    }
    found.add(evacuated.map(({ name }) => name).join(" "));
    const described = evacuated.map(({ name, seconds }) => `${name} since ${seconds} s`);
    output.printLine(`${address} ${described.length === 0 ? "none" : described.join(", ")}`);
  }
  if (found.size > 1) {
    output.printNotice("The VMs do not agree on which data centres are evacuated.");
    process.exitCode = output.EXIT_ALARM;
  }
}

export const evacuationsCommand = citty.defineCommand({
  meta: { name: "evacuations", description: "Shows which data centres are evacuated." },
  args: {
    address: {
      type: "positional",
      required: true,
      description: "Addresses of the metrics pages of VMs, one or more.",
    },
  },
  run: ({ args }) => printEvacuations(args._),
});
