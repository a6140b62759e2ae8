/**
 * `hemlockctl compact`: writes a baseline of the chain, so that new VMs need not read every note.
 */

import * as configuration from "@hemlockwalk/configuration";
import * as model from "@hemlockwalk/model";
import * as citty from "citty";
import * as chainFolder from "../chain_folder.ts";
import * as output from "../output.ts";

function compact(folder: string): void {
  const chain = new chainFolder.ChainFolder(folder);
  const snapshot = chain.load();
  if (snapshot === undefined) {
    const gap = model.createDiagnostic(model.Diagnostics.chainGap, [1]);
    throw output.createFindingsError(folder, [gap]);
  }
  const baseline = configuration.runSynchronously(configuration.createBaselineInSteps(snapshot));
  for (const [key, text] of baseline.chunks) {
    const bytes = Buffer.byteLength(text);
    if (bytes > model.MAXIMUM_VALUE_BYTES) {
      const values = [bytes, model.MAXIMUM_VALUE_BYTES];
      const row = model.Diagnostics.documentTooLarge;
      throw output.createFindingsError(chain.getFile(key), [model.createDiagnostic(row, values)]);
    }
  }
  chain.writeBaseline(baseline);
  output.printLine(
    `${chain.getFile(configuration.BASELINE_KEY)}: note ${snapshot.number}, ` +
      `${baseline.manifest.entities} entities in ${baseline.chunks.size} chunks`,
  );
}

export const compactCommand = citty.defineCommand({
  meta: { name: "compact", description: "Writes a baseline of a chain." },
  args: { chain: { type: "positional", required: true, description: "Folder of the chain." } },
  run: ({ args }) => output.runCommand(() => compact(args.chain)),
});
