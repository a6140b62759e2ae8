/**
 * A child process of a demonstration or measurement. Only its handle ends it.
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

  /** Starts a module with arguments and collects the lines of its standard output. */
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

  /** Waits for the first line of standard output, such as the listen address of a stand-in. */
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

  /** Kills the process and waits until it has exited. */
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
