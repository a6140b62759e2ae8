/**
 * The service that keeps the configuration in force up to date from the platform.
 */

import * as kernel from "@hemlockwalk/kernel";
import * as model from "@hemlockwalk/model";
import * as applying from "./apply_note.ts";
import * as platform from "./platform_client.ts";
import type * as snapshots from "./snapshot.ts";
import type * as types from "./types.ts";

const READ_TIMEOUT_MILLISECONDS = 2_000;
const WATCH_WAIT_MILLISECONDS = 30_000;
const RETRY_DELAY_MILLISECONDS = 500;

/** Key of the platform's value that holds the text of a release note. */
export function getNoteKey(number: number): string {
  return `notes/${number}`;
}

/** Holds the configuration in force and follows the chain of release notes on the platform. */
export class PlatformConfiguration implements types.ConfigurationService {
  readonly #client: platform.PlatformClient;
  readonly #logger: kernel.PartLogger;
  readonly #listeners: types.SnapshotListener[] = [];
  readonly #stopping = new AbortController();
  readonly #refused = new Set<number>();
  #snapshot: snapshots.TableSnapshot | undefined;
  #following: Promise<void> | undefined;

  constructor(client: platform.PlatformClient, logger: kernel.PartLogger) {
    this.#client = client;
    this.#logger = logger;
  }

  getSnapshot(): types.Snapshot | undefined {
    return this.#snapshot;
  }

  isReady(): boolean {
    return this.#snapshot !== undefined;
  }

  onChange(listener: types.SnapshotListener): void {
    this.#listeners.push(listener);
  }

  start(): void {
    this.#following = this.#follow();
  }

  async stop(): Promise<void> {
    this.#stopping.abort();
    await this.#following;
    await this.#client.close();
  }

  async #follow(): Promise<void> {
    const { signal } = this.#stopping;
    while (!signal.aborted) {
      const next = (this.#snapshot?.number ?? 0) + 1;
      const value = await this.#client.watch(getNoteKey(next), 0, WATCH_WAIT_MILLISECONDS, signal);
      if (value.isOk()) {
        await this.#accept(next, value.value.text);
      } else if (value.error.kind !== "absent" && !signal.aborted) {
        this.#logger.warn("The platform gave no answer.", { detail: value.error.detail });
        await kernel.sleep(RETRY_DELAY_MILLISECONDS, signal);
      }
    }
  }

  async #accept(number: number, text: string): Promise<void> {
    const previous = this.#snapshot;
    const applied = applying.applyNoteText(previous, text);
    if (applied.isErr()) {
      this.#reportRefusal(number, applied.error.diagnostics);
      await kernel.sleep(READ_TIMEOUT_MILLISECONDS, this.#stopping.signal);
      return;
    }
    this.#snapshot = applied.value;
    this.#logger.info("A release note is in force.", { number });
    const change = {
      previous,
      current: applied.value,
      withdrawnKeys: listWithdrawnKeys(previous, applied.value),
    };
    for (const listener of this.#listeners) {
      listener(change);
    }
  }

  #reportRefusal(number: number, diagnostics: readonly model.Diagnostic[]): void {
    if (this.#refused.has(number)) {
      return;
    }
    this.#refused.add(number);
    for (const diagnostic of diagnostics) {
      const finding = model.formatDiagnostic(getNoteKey(number), diagnostic);
      this.#logger.error("A release note is refused.", { number, finding });
    }
  }
}

function listWithdrawnKeys(
  previous: types.Snapshot | undefined,
  current: types.Snapshot,
): model.KeyDigest[] {
  const withdrawn: model.KeyDigest[] = [];
  for (const key of previous?.listKeys() ?? []) {
    if (current.findKey(key.digest)?.workspace !== key.workspace) {
      withdrawn.push(key.digest);
    }
  }
  return withdrawn;
}

/** The name under which the configuration is found. */
export const CONFIGURATION = kernel.createServiceName<types.ConfigurationService>("configuration");
