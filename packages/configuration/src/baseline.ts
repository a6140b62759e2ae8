/**
 * Baselines: snapshots of the configuration after a note, split into chunks that fit the platform's
 * limit on the size of a value.
 *
 * A chunk holds one entity per line. The chunk of an entity depends only on its identifier, and
 * entities are sorted, so two baselines of the same note are identical byte for byte.
 */

import * as model from "@hemlockwalk/model";
import * as neverthrow from "neverthrow";
import * as zod from "zod";
import * as references from "./references.ts";
import * as shardedMap from "./sharded_map.ts";
import type * as snapshots from "./snapshot.ts";

/** The format of baselines that this version reads and writes. */
export const BASELINE_FORMAT = 1;

/** The largest average number of entities per chunk. */
const ENTITIES_PER_CHUNK = 4_000;

/** Platform key of the manifest of the newest baseline. */
export const BASELINE_KEY = "baseline";

/** Returns the platform key of a chunk of a baseline. */
export function getChunkKey(number: number, index: number): string {
  return `baselines/${number}/${index}`;
}

const chunkSchema = zod.strictObject({ key: zod.string().min(1), digest: model.sha256 });

const manifestSchema = zod.strictObject({
  format: zod.literal(BASELINE_FORMAT),
  number: zod.number().int().min(1).transform(model.createNoteNumber),
  /** Digest of the newest note that the baseline includes. */
  digest: model.sha256.transform((value) => value as model.NoteDigest),
  fleet: model.fleetSchema,
  /** Total number of entities in all chunks. */
  entities: zod.number().int().min(0),
  chunks: zod.array(chunkSchema).min(1).max(shardedMap.SHARD_COUNT),
});

/** Describes a baseline: its newest note, its fleet declaration and its chunks. */
export type BaselineManifest = zod.output<typeof manifestSchema>;

/** Parses and checks the text of a manifest. */
export function parseManifest(
  text: string,
): neverthrow.Result<BaselineManifest, model.Diagnostic[]> {
  return model.parseDocument(text, manifestSchema);
}

/** A complete baseline in memory, as the operators' tool writes it. */
export interface Baseline {
  readonly manifest: BaselineManifest;
  /** Texts of the chunks by key. */
  readonly chunks: ReadonlyMap<string, string>;
}

/** Returns the number of chunks, a power of two, for a configuration with this many entities. */
export function getChunkCount(entities: number): number {
  let count = 1;
  while (count < shardedMap.SHARD_COUNT && count * ENTITIES_PER_CHUNK < entities) {
    count *= 2;
  }
  return count;
}

/** Renders one chunk of a configuration in short steps. */
export function* renderChunkInSteps(
  snapshot: snapshots.TableSnapshot,
  index: number,
  chunkCount: number,
): Generator<void, string> {
  const shardsPerChunk = shardedMap.SHARD_COUNT / chunkCount;
  let text = "";
  for (const section of model.SECTION_NAMES) {
    const view = snapshot.views[section] as unknown as {
      copyShard(shard: number): Map<string, references.Entity>;
    };
    for (let offset = 0; offset < shardsPerChunk; offset++) {
      const shard = view.copyShard(index * shardsPerChunk + offset);
      for (const id of [...shard.keys()].sort()) {
        text += `${JSON.stringify([section, shard.get(id)])}\n`;
      }
      yield;
    }
  }
  return text;
}

/** Creates the baseline of a configuration in short steps. */
export function* createBaselineInSteps(
  snapshot: snapshots.TableSnapshot,
): Generator<void, Baseline> {
  let chunkCount = getChunkCount(snapshot.size);
  for (;;) {
    const texts: string[] = [];
    for (let index = 0; index < chunkCount; index++) {
      texts.push(yield* renderChunkInSteps(snapshot, index, chunkCount));
    }
    const isWithinLimit = texts.every((text) =>
      Buffer.byteLength(text) <= model.MAXIMUM_VALUE_BYTES
    );
    if (isWithinLimit || chunkCount === shardedMap.SHARD_COUNT) {
      return assembleBaseline(snapshot, texts);
    }
    chunkCount *= 2;
  }
}

function assembleBaseline(snapshot: snapshots.TableSnapshot, texts: readonly string[]): Baseline {
  const chunks = new Map<string, string>();
  const listed: BaselineManifest["chunks"] = [];
  for (const [index, text] of texts.entries()) {
    const key = getChunkKey(snapshot.number, index);
    chunks.set(key, text);
    listed.push({ key, digest: model.createTextDigest(text) });
  }
  const { number, digest, fleet, size } = snapshot;
  const manifest: BaselineManifest = {
    format: BASELINE_FORMAT,
    number,
    digest,
    fleet,
    entities: size,
    chunks: listed,
  };
  return { manifest, chunks };
}
