/**
 * Collects from the logs of VMs which targets were ejected.
 */

import bunyan from "bunyan";
import type * as commands from "./commands.ts";

/** The sentence by which a VM says that it put a target out of use. */
const EJECTION_SENTENCE = "targets: A target is ejected.";

/** Creates loggers whose lines are searched instead of written. */
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
    if (line["msg"] !== EJECTION_SENTENCE) {
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
