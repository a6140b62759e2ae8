/**
 * Fetches baselines: the one published on the platform, or one that a peer creates from its own
 * configuration.
 */

import type * as kernel from "@hemlockwalk/kernel";
import * as model from "@hemlockwalk/model";
import * as baselines from "./baseline.ts";
import * as baselineLoading from "./baseline_loading.ts";
import type * as counting from "./counters.ts";
import type * as noteChain from "./note_chain.ts";
import * as peerMessages from "./peer_messages.ts";
import * as slices from "./slices.ts";
import type * as snapshots from "./snapshot.ts";
import type * as types from "./types.ts";

const READ_TIMEOUT_MILLISECONDS = 2_000;

/** Number of attempts to read a chunk before loading the baseline is abandoned. */
const CHUNK_ATTEMPTS = 3;

/** Loads baselines and offers them to the chain. */
export class BaselineSources {
  readonly #chain: noteChain.NoteChain;
  readonly #reader: types.PlatformReader;
  readonly #counters: counting.ConfigurationCounters;
  readonly #logger: kernel.ComponentLogger;

  constructor(
    chain: noteChain.NoteChain,
    reader: types.PlatformReader,
    counters: counting.ConfigurationCounters,
    logger: kernel.ComponentLogger,
  ) {
    this.#chain = chain;
    this.#reader = reader;
    this.#counters = counters;
    this.#logger = logger;
  }

  /**
   * Loads the published baseline if it is newer than the note in force.
   *
   * @returns Whether it came into force.
   */
  async loadFromPlatform(signal: AbortSignal): Promise<boolean> {
    const value = await this.#reader.get(
      baselines.BASELINE_KEY,
      READ_TIMEOUT_MILLISECONDS,
      signal,
    );
    if (value.isErr()) {
      return false;
    }
    const manifest = baselines.parseManifest(value.value.text);
    if (manifest.isErr()) {
      this.#refuse("platform", manifest.error);
      return false;
    }
    if (manifest.value.number <= this.#chain.number) {
      return false;
    }
    const builder = new baselineLoading.BaselineBuilder();
    for (const chunk of manifest.value.chunks) {
      const text = await this.#readChunk(chunk.key, chunk.digest, signal);
      if (text === undefined) {
        return false;
      }
      await slices.runInSlices(builder.addChunkInSteps(text));
    }
    return await this.#finish(builder, manifest.value, manifest.value.entities, "platform");
  }

  /**
   * Loads the configuration of a peer if it is newer than the note in force.
   *
   * @returns Whether it came into force.
   */
  async loadFromPeer(caller: peerMessages.PeerCaller, peer: model.VmId): Promise<boolean> {
    const answer = await caller.call(
      peer,
      peerMessages.BASELINE_CHANNEL,
      null,
      peerMessages.baselineAnswerSchema,
    );
    const baseline = answer.unwrapOr(null);
    if (baseline === null || baseline.number <= this.#chain.number) {
      return false;
    }
    const builder = new baselineLoading.BaselineBuilder();
    for (let index = 0; index < baseline.chunkCount; index++) {
      const chunk = await caller.call(
        peer,
        peerMessages.CHUNK_CHANNEL,
        { digest: baseline.digest, index },
        peerMessages.chunkAnswerSchema,
      );
      const text = chunk.unwrapOr(null)?.text;
      if (text === undefined) {
        return false;
      }
      await slices.runInSlices(builder.addChunkInSteps(text));
    }
    return await this.#finish(builder, baseline, baseline.entities, peer);
  }

  /** Reads a chunk, and reads it again if its digest is wrong, as after a truncated response. */
  async #readChunk(
    key: string,
    digest: string,
    signal: AbortSignal,
  ): Promise<string | undefined> {
    for (let attempt = 0; attempt < CHUNK_ATTEMPTS && !signal.aborted; attempt++) {
      const value = await this.#reader.get(key, READ_TIMEOUT_MILLISECONDS, signal);
      const text = value.isOk() ? value.value.text : undefined;
      const actual = text === undefined ? undefined : model.createTextDigest(text);
      if (actual === digest) {
        return text;
      }
      if (actual !== undefined) {
        const row = model.Diagnostics.wrongDigest;
        this.#refuse("platform", [model.createDiagnostic(row, [actual, digest], key)]);
      }
    }
    return undefined;
  }

  async #finish(
    builder: baselineLoading.BaselineBuilder,
    identity: snapshots.SnapshotIdentity,
    entities: number,
    origin: types.Origin,
  ): Promise<boolean> {
    const { number, digest, fleet } = identity;
    const steps = builder.finishInSteps({ number, digest, fleet }, entities);
    const loaded = await slices.runInSlices(steps);
    if (loaded.isErr()) {
      this.#refuse(origin, loaded.error);
      return false;
    }
    return await this.#chain.offerBaseline(loaded.value, origin);
  }

  #refuse(origin: types.Origin, diagnostics: readonly model.Diagnostic[]): void {
    const source = origin === "platform" ? "platform" : "peer";
    this.#counters.baselines.inc({ source, outcome: "refused" });
    for (const diagnostic of diagnostics) {
      const finding = model.formatDiagnostic(baselines.BASELINE_KEY, diagnostic);
      this.#logger.error("A baseline is refused.", { origin, finding });
    }
  }
}
