/**
 * The experiment's side of a worker process.
 */

import * as childProcess from "node:child_process";
import * as url from "node:url";
import type * as commands from "./commands.ts";

interface PendingCommand {
  readonly resolve: (answer: unknown) => void;
  readonly reject: (error: Error) => void;
}

/** A worker process. Only this handle ends it. */
export class WorkerHandle {
  readonly #child: childProcess.ChildProcess;
  readonly #pending = new Map<number, PendingCommand>();
  readonly #exited: Promise<void>;
  #lastId = 0;

  /** Starts a worker from a module in this folder, such as `vm_host_main.js`. */
  constructor(module: string) {
    const modulePath = url.fileURLToPath(new URL(module, import.meta.url));
    this.#child = childProcess.fork(modulePath, [], { serialization: "advanced" });
    this.#child.on("message", (message) => this.#settle(message as commands.AnswerMessage));
    this.#exited = new Promise((resolve) => {
      this.#child.once("exit", () => {
        this.#rejectPending();
        resolve();
      });
    });
  }

  /** Sends a command and waits for its answer. */
  call<Name extends commands.CommandName>(
    name: Name,
    request: commands.Commands[Name]["request"],
  ): Promise<commands.Commands[Name]["answer"]> {
    this.#lastId++;
    const id = this.#lastId;
    return new Promise((resolve, reject) => {
      this.#pending.set(id, {
        resolve: (answer) => resolve(answer as commands.Commands[Name]["answer"]),
        reject,
      });
      const message: commands.CommandMessage = { id, name, request };
      this.#child.send(message);
    });
  }

  /** Suspends the process until `resume` is called. */
  pause(): void {
    this.#child.kill("SIGSTOP");
  }

  resume(): void {
    this.#child.kill("SIGCONT");
  }

  /** Kills the process and waits until it has exited. */
  async kill(): Promise<void> {
    this.#child.kill("SIGKILL");
    await this.#exited;
  }

  #settle(message: commands.AnswerMessage): void {
    const pending = this.#pending.get(message.id);
    this.#pending.delete(message.id);
    if (message.error === undefined) {
      pending?.resolve(message.answer);
    } else {
      pending?.reject(new Error(message.error));
    }
  }

  #rejectPending(): void {
    for (const pending of this.#pending.values()) {
      pending.reject(new Error("The worker process has exited."));
    }
    this.#pending.clear();
  }
}
