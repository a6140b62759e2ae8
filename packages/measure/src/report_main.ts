/**
 * The command `npm run report`: creates a page of measured results or compares two result files.
 */

import * as fs from "node:fs";
import * as path from "node:path";
import process from "node:process";
import * as citty from "citty";
import type * as analysis from "./experiment/analysis.ts";
import * as page from "./report/page.ts";

const RESULTS_FOLDER = ".measure";

interface ResultFile {
  readonly name: string;
  readonly results: analysis.ExperimentResult[];
}

function readResults(file: string): ResultFile {
  const results = JSON.parse(fs.readFileSync(file, "utf8")) as analysis.ExperimentResult[];
  return { name: path.basename(file, ".json"), results };
}

/** Combines the results of two files and adds to each variant which file it is from. */
function mergeFiles(earlier: ResultFile, later: ResultFile): ResultFile {
  const labelVariants = (file: ResultFile, word: string) =>
    file.results.map((result) => ({ ...result, variant: `${result.variant}, ${word}` }));
  return {
    name: `${earlier.name} against ${later.name}`,
    results: [...labelVariants(earlier, "earlier"), ...labelVariants(later, "later")],
  };
}

const reportCommand = citty.defineCommand({
  meta: { name: "report", description: "Draws measured results as a self-contained HTML page." },
  args: {
    earlier: { type: "string", description: "Result file to compare with." },
    later: { type: "string", description: "Result file that is compared with the earlier one." },
    folder: { type: "string", default: RESULTS_FOLDER, description: "Folder of result files." },
    output: { type: "string", default: path.join(RESULTS_FOLDER, "report.html") },
  },
  async run({ args }) {
    const files = args.earlier !== undefined && args.later !== undefined
      ? [mergeFiles(readResults(args.earlier), readResults(args.later))]
      : fs.readdirSync(args.folder).filter((file) => file.endsWith(".json")).sort()
        .map((file) => readResults(path.join(args.folder, file)));
    fs.writeFileSync(args.output, await page.createPage(files));
    process.stdout.write(`${args.output}\n`);
  },
});

await citty.runMain(reportCommand);
