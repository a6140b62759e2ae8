/**
 * Finds out whether a target has ended after a call to it broke off.
 *
 * A call also breaks off when the target closes a single connection, or when this VM loses its path.
 * So a target counts as ended only if it accepts no new connection while another target does.
 */

import type * as declarations from "@hemlockwalk/declarations";
import type * as model from "@hemlockwalk/model";
import * as placement from "@hemlockwalk/placement";
import type * as reach from "./reachability.ts";
import * as testConnections from "./test_connection.ts";

/** Other targets that are tried before the fault is taken to be this VM's own path. */
const MAX_OTHER_TARGETS = 3;

/** What a check has found. */
export type CheckResult = "ended" | "reachable" | "no_path";

/** Checks targets, each one once at a time. */
export class TargetEndChecks {
  readonly #directory: declarations.TargetDirectory;
  readonly #reachability: reach.Reachability;
  readonly #sourceAddress: string | undefined;
  readonly #running = new Map<model.TargetId, Promise<CheckResult>>();
  readonly #attempts = new Set<testConnections.ConnectionAttempt>();

  constructor(
    directory: declarations.TargetDirectory,
    reachability: reach.Reachability,
    sourceAddress: string | undefined,
  ) {
    this.#directory = directory;
    this.#reachability = reachability;
    this.#sourceAddress = sourceAddress;
  }

  /** Ends the running checks without a result. */
  stop(): void {
    this.#attempts.forEach((attempt) => attempt.cancel());
    this.#attempts.clear();
  }

  /** Checks a target whose call has just broken off. */
  check(target: declarations.TargetEntry): Promise<CheckResult> {
    let running = this.#running.get(target.id);
    if (running === undefined) {
      running = this.#run(target).finally(() => this.#running.delete(target.id));
      this.#running.set(target.id, running);
    }
    return running;
  }

  async #run(target: declarations.TargetEntry): Promise<CheckResult> {
    if (await this.#canConnect(target)) {
      return "reachable";
    }
    const known = this.#directory.listAllServing().map(({ id }) => id);
    for (const other of placement.drawTestTargets(known, target.id, MAX_OTHER_TARGETS)) {
      const entry = this.#directory.find(other);
      if (entry !== undefined && await this.#canConnect(entry)) {
        return "ended";
      }
    }
    return "no_path";
  }

  #canConnect({ id, address }: declarations.TargetEntry): Promise<boolean> {
    return new Promise((resolve) => {
      const attempt = testConnections.testConnection(
        address,
        this.#sourceAddress,
        this.#reachability.getConnectTimeout(id),
        (milliseconds) => {
          this.#attempts.delete(attempt);
          if (milliseconds === undefined) {
            this.#reachability.recordUnreachable(id);
          } else {
            // Also tells that this VM has not lost its path.
            this.#reachability.recordConnected(id, milliseconds);
          }
          resolve(milliseconds !== undefined);
        },
      );
      this.#attempts.add(attempt);
    });
  }
}
