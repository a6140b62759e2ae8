/**
 * Collects the ejections of targets from the logs of VMs.
 */

import bunyan from "bunyan";
import type * as commands from "./commands.ts";

/** Message of the log line that a VM writes when it ejects a target. */
const EJECTION_MESSAGE = "targets: A target is ejected.";

/** Creates loggers that record ejections instead of writing their lines. */
export class EjectionLog {
  readonly ejections: commands.EjectionRecord[] = [];

  /** Creates the root logger of a VM. */
  createLogger(vm: string): bunyan {
    const stream = { write: (line: unknown) => this.#read(line as Record<string, unknown>) };
    return bunyan.createLogger({
      name: "hemlockwalk",
      vm,
      streams: [{ type: "raw", level: "info", stream: stream }],
    });
  }

  #read(line: Record<string, unknown>): void {
    if (line["msg"] !== EJECTION_MESSAGE) {
      return;
    }
    this.ejections.push({
      vm: String(line["vm"]),
      judge: String(line["judge"]),
      target: String(line["target"]),
      fault: String(line["kind"]),
      scope: String(line["scope"]),
    });
  }
}
