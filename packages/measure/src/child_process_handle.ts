/**
 * A child process of a demonstration or measurement, ended by its own handle only.
 */

import * as childProcess from "node:child_process";
import process from "node:process";
import * as readline from "node:readline";

/** A running Node.js program. */
export class ChildProcessHandle {
  readonly #child: childProcess.ChildProcess;
  readonly #exited: Promise<number | undefined>;
  readonly #lines: string[] = [];
  readonly #lineWaiters: (() => void)[] = [];

  /** Starts a module with arguments. Its standard output is kept line by line. */
  constructor(modulePath: string, programArguments: readonly string[]) {
    this.#child = childProcess.spawn(process.execPath, [modulePath, ...programArguments], {
      stdio: ["ignore", "pipe", "inherit"],
    });
    this.#exited = new Promise((resolve) => {
      this.#child.once("exit", (code) => resolve(code ?? undefined));
    });
    const { stdout } = this.#child;
    if (stdout !== null) {
      readline.createInterface({ input: stdout }).on("line", (line) => this.#addLine(line));
    }
  }

  /** Lines of standard output so far. */
  get lines(): readonly string[] {
    return this.#lines;
  }

  /** The first line of standard output, such as the address a stand-in listens on. */
  async readFirstLine(): Promise<string> {
    while (this.#lines[0] === undefined) {
      await new Promise<void>((resolve) => this.#lineWaiters.push(resolve));
    }
    return this.#lines[0];
  }

  /** Asks the process to stop and resolves with its exit code; undefined after a signal. */
  terminate(): Promise<number | undefined> {
    this.#child.kill("SIGTERM");
    return this.#exited;
  }

  /** Ends the process at once. */
  async kill(): Promise<void> {
    this.#child.kill("SIGKILL");
    await this.#exited;
  }

  #addLine(line: string): void {
    this.#lines.push(line);
    for (const wake of this.#lineWaiters.splice(0)) {
      wake();
    }
  }
}
