#!/usr/bin/env node
/**
 * The command-line entry point `hemlockwalk`: runs the daemon of one VM.
 */

import * as fs from "node:fs";
import process from "node:process";
import * as kernel from "@hemlockwalk/kernel";
import * as model from "@hemlockwalk/model";
import * as citty from "citty";
import * as virtualMachine from "./virtual_machine.ts";

const VERSION = "0.1.0";

/** Exit code for invalid settings. */
const EXIT_INVALID = 2;

const settingsArgument = {
  settings: {
    type: "positional",
    description: "Settings file, JSON with comments.",
    required: true,
  },
} as const;

function readSettings(file: string): model.Settings {
  let text: string;
  try {
    text = fs.readFileSync(file, "utf8");
  } catch (error) {
    const unreadable = model.createDiagnostic(
      model.Diagnostics.fileUnreadable,
      [(error as Error).message],
    );
    return exitWithDiagnostics(file, [unreadable]);
  }
  const settings = model.parseSettings(text);
  return settings.isOk() ? settings.value : exitWithDiagnostics(file, settings.error);
}

function exitWithDiagnostics(file: string, diagnostics: readonly model.Diagnostic[]): never {
  for (const diagnostic of diagnostics) {
    process.stderr.write(`${model.formatDiagnostic(file, diagnostic)}\n`);
  }
  process.exit(EXIT_INVALID);
}

const runCommand = citty.defineCommand({
  meta: { name: "run", description: "Runs the daemon until SIGTERM or SIGINT." },
  args: settingsArgument,
  async run({ args }) {
    const settings = readSettings(args.settings);
    const logger = kernel.createRootLogger(settings.vm, settings.log.level);
    const daemonLogger = new kernel.ComponentLogger(logger, "daemon");
    const services = virtualMachine.createVirtualMachine(settings, logger);
    await services.start();
    daemonLogger.info("Daemon started.", { listener: settings.listener.address });
    const stop = () => {
      daemonLogger.info("Daemon stopping.");
      void services.stop().then(() => {
        daemonLogger.info("Daemon stopped.");
        process.exit(0);
      });
    };
    process.once("SIGTERM", stop);
    process.once("SIGINT", stop);
  },
});

const checkSettingsCommand = citty.defineCommand({
  meta: { name: "check-settings", description: "Checks a settings file." },
  args: settingsArgument,
  run({ args }) {
    readSettings(args.settings);
    process.stdout.write(`${args.settings}: no findings\n`);
  },
});

const mainCommand = citty.defineCommand({
  meta: { name: "hemlockwalk", version: VERSION, description: "Proxy daemon of one VM." },
  subCommands: { run: runCommand, "check-settings": checkSettingsCommand },
});

await citty.runMain(mainCommand);
