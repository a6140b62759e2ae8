/**
 * The command `npm run measure`: runs a scenario on a deployment and prints its measures.
 */

import * as fs from "node:fs";
import * as path from "node:path";
import process from "node:process";
import * as citty from "citty";
import * as deployments from "./deployments.ts";
import type * as commands from "./emulator/commands.ts";
import * as analysis from "./experiment/analysis.ts";
import * as experiment from "./experiment/experiment.ts";
import * as table from "./experiment/table.ts";
import * as scenarios from "./scenario.ts";

const RESULTS_FOLDER = ".measure";
const EXIT_INVALID = 2;

function fail(message: string): never {
  process.stderr.write(`${message}\n`);
  process.exit(EXIT_INVALID);
}

function listVariants(name: string): commands.Variant[] {
  switch (name) {
    case "both":
      return ["baseline", "built"];
    case "built":
    case "baseline":
      return [name];
    default:
      return fail(`Unknown variant '${name}': expected built, baseline or both.`);
  }
}

function parseSeed(text: string): number {
  const seed = Number(text);
  return Number.isSafeInteger(seed) ? seed : fail(`The seed '${text}' is not a whole number.`);
}

function writeMetrics(folder: string, data: experiment.ExperimentData): void {
  fs.mkdirSync(folder, { recursive: true });
  for (const report of data.vmReports) {
    fs.writeFileSync(path.join(folder, `${data.variant}-${report.vm}.txt`), report.metrics);
  }
}

const measureCommand = citty.defineCommand({
  meta: { name: "measure", description: "Measures a deployment under a scenario, on loopback." },
  args: {
    deployment: {
      type: "string",
      default: "pitchwise",
      description: [...deployments.DEPLOYMENTS.keys()].join(" or "),
    },
    scenario: {
      type: "string",
      default: "calm",
      description: `A scenario file, or one of: ${scenarios.listScenarios().join(", ")}.`,
    },
    seed: { type: "string", default: "1", description: "Seed of the load and of the targets." },
    variant: { type: "string", default: "both", description: "built, baseline or both." },
    metrics: { type: "string", description: "Folder for the metrics of each VM at the end." },
    output: { type: "string", description: "File for the results as JSON." },
  },
  async run({ args }) {
    const deployment = deployments.DEPLOYMENTS.get(args.deployment) ??
      fail(`Unknown deployment '${args.deployment}'.`);
    const scenario = scenarios.readScenario(scenarios.getScenarioFile(args.scenario));
    if (scenario.isErr()) {
      return fail(scenario.error.join("\n"));
    }
    const seed = parseSeed(args.seed);
    const results: analysis.ExperimentResult[] = [];
    for (const variant of listVariants(args.variant)) {
      const run = new experiment.Experiment(deployment, scenario.value, seed, variant);
      const data = await run.run();
      results.push(analysis.analyzeExperiment(data, args.scenario));
      if (args.metrics !== undefined) {
        writeMetrics(args.metrics, data);
      }
    }
    const title = `${deployment.id}, ${args.scenario}, seed ${seed}: ${scenario.value.title}`;
    process.stdout.write(`${title}\n\n${table.formatTable(results)}\n`);
    const name = `${deployment.id}-${path.basename(args.scenario, ".jsonc")}-${seed}.json`;
    const file = args.output ?? path.join(RESULTS_FOLDER, name);
    fs.mkdirSync(path.dirname(file), { recursive: true });
    fs.writeFileSync(file, `${JSON.stringify(results, undefined, 2)}\n`);
  },
});

await citty.runMain(measureCommand);
