/**
 * `hemlockctl verify`: validates a complete chain before it is published.
 */

import * as configuration from "@hemlockwalk/configuration";
import * as model from "@hemlockwalk/model";
import * as citty from "citty";
import * as chainFolder from "../chain_folder.ts";
import * as files from "../files.ts";
import * as output from "../output.ts";

function verify(folder: string): void {
  const chain = new chainFolder.ChainFolder(folder);
  const snapshot = chain.load();
  if (snapshot === undefined) {
    const gap = model.createDiagnostic(model.Diagnostics.chainGap, [1]);
    throw output.createFindingsError(chain.getNoteFile(1), [gap]);
  }
  verifyHead(chain, snapshot);
  const baseline = verifyBaseline(chain);
  output.printLine(`${folder}: ${snapshot.number} notes, ${baseline}, no findings`);
}

function verifyHead(
  chain: chainFolder.ChainFolder,
  snapshot: configuration.TableSnapshot,
): void {
  const file = chain.getFile(configuration.HEAD_KEY);
  const text = files.readTextIfExists(file)?.trim();
  const expected = configuration.createHeadText(snapshot.number, snapshot.digest);
  if (text !== undefined && text !== expected) {
    const row = model.Diagnostics.wrongDigest;
    throw output.createFindingsError(file, [model.createDiagnostic(row, [expected, text])]);
  }
}

/** Compares the baseline with the state that results from the notes up to its number. */
function verifyBaseline(chain: chainFolder.ChainFolder): string {
  const baseline = chain.loadBaseline();
  if (baseline === undefined) {
    return "no baseline";
  }
  const numbers = chain.listNoteNumbers();
  const isCovered = numbers[0] === 1 && numbers.includes(baseline.number);
  if (!isCovered) {
    return `a baseline of note ${baseline.number} that the remaining notes cannot confirm`;
  }
  const expected = chain.load(baseline.number);
  const difference = findDifference(baseline, expected);
  if (difference !== undefined) {
    const file = chain.getFile(configuration.BASELINE_KEY);
    const values = [baseline.number, difference];
    const row = model.Diagnostics.baselineDiffers;
    throw output.createFindingsError(file, [model.createDiagnostic(row, values)]);
  }
  return `a baseline of note ${baseline.number}`;
}

function findDifference(
  baseline: configuration.TableSnapshot,
  expected: configuration.TableSnapshot | undefined,
): string | undefined {
  if (expected === undefined || baseline.digest !== expected.digest) {
    return "digest";
  }
  const createBaseline = (snapshot: configuration.TableSnapshot) =>
    configuration.runSynchronously(configuration.createBaselineInSteps(snapshot));
  const left = createBaseline(baseline);
  const right = createBaseline(expected);
  if (JSON.stringify(left.manifest.fleet) !== JSON.stringify(right.manifest.fleet)) {
    return "fleet";
  }
  return [...right.chunks].find(([key, text]) => left.chunks.get(key) !== text)?.[0];
}

export const verifyCommand = citty.defineCommand({
  meta: { name: "verify", description: "Validates a complete chain with its head and baseline." },
  args: { chain: { type: "positional", required: true, description: "Folder of the chain." } },
  run: ({ args }) => output.runCommand(() => verify(args.chain)),
});
