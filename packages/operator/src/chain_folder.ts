/**
 * The folder that holds a chain in its published form: one file for each value on the platform.
 *
 * `notes/7.json` holds the value of `notes/7`, `head.json` that of `head`, `baseline.json` that of
 * `baseline`, and `baselines/7/0.txt` that of `baselines/7/0`.
 */

import * as path from "node:path";
import * as configuration from "@hemlockwalk/configuration";
import * as model from "@hemlockwalk/model";
import * as files from "./files.ts";
import * as output from "./output.ts";

/** A chain on disk. */
export class ChainFolder {
  readonly folder: string;

  constructor(folder: string) {
    this.folder = folder;
  }

  /** Returns the file that holds the platform value with the given key. */
  getFile(key: string): string {
    const extension = key.startsWith("baselines/") ? "txt" : "json";
    return path.join(this.folder, `${key}.${extension}`);
  }

  getNoteFile(number: number): string {
    return this.getFile(configuration.getNoteKey(number));
  }

  /** Lists the numbers of the notes in the folder in ascending order. */
  listNoteNumbers(): number[] {
    const folder = path.join(this.folder, "notes");
    if (!files.isFolder(folder)) {
      return [];
    }
    return files.listFiles(folder)
      .map((file) => Number(/^(\d+)\.json$/.exec(path.basename(file))?.[1]))
      .filter((number) => Number.isSafeInteger(number) && number > 0)
      .sort((left, right) => left - right);
  }

  /** Writes the next note and the head that refers to it. */
  writeNote(number: number, text: string): void {
    files.writeText(this.getNoteFile(number), text);
    const head = configuration.createHeadText(number, model.createNoteDigest(text));
    files.writeText(this.getFile(configuration.HEAD_KEY), `${head}\n`);
  }

  /** Writes a baseline. The chunks are written before the manifest that refers to them. */
  writeBaseline(baseline: configuration.Baseline): void {
    for (const [key, text] of baseline.chunks) {
      files.writeText(this.getFile(key), text);
    }
    const manifest = JSON.stringify(baseline.manifest);
    files.writeText(this.getFile(configuration.BASELINE_KEY), `${manifest}\n`);
  }

  /**
   * Applies the notes of the chain. If the first notes have been removed, starts from the baseline.
   *
   * @param last Number of the last note to apply; undefined applies all.
   * @throws {output.FindingsError} If a note is missing or refused.
   */
  load(last?: number): configuration.TableSnapshot | undefined {
    const numbers = this.listNoteNumbers().filter((number) => number <= (last ?? Infinity));
    const first = numbers[0];
    const startsWithBaseline = first === undefined || first > 1;
    let snapshot = startsWithBaseline ? this.loadBaseline() : undefined;
    if (snapshot !== undefined && snapshot.number > (last ?? Infinity)) {
      throw this.#createGapError(last ?? 1);
    }
    for (const number of numbers) {
      if (number > (snapshot?.number ?? 0)) {
        snapshot = this.#applyNote(snapshot, number);
      }
    }
    if (last !== undefined && snapshot?.number !== last) {
      throw this.#createGapError(last);
    }
    return snapshot;
  }

  /** Reads and validates the baseline independently of the notes; undefined if there is none. */
  loadBaseline(): configuration.TableSnapshot | undefined {
    const manifest = this.readManifest();
    if (manifest === undefined) {
      return undefined;
    }
    const builder = new configuration.BaselineBuilder();
    for (const chunk of manifest.chunks) {
      const file = this.getFile(chunk.key);
      const text = files.readText(file);
      const digest = model.createTextDigest(text);
      if (digest !== chunk.digest) {
        const row = model.Diagnostics.wrongDigest;
        const finding = model.createDiagnostic(row, [digest, chunk.digest]);
        throw output.createFindingsError(file, [finding]);
      }
      configuration.runSynchronously(builder.addChunkInSteps(text));
    }
    const loaded = configuration.runSynchronously(
      builder.finishInSteps(manifest, manifest.entities),
    );
    if (loaded.isErr()) {
      throw output.createFindingsError(this.getFile(configuration.BASELINE_KEY), loaded.error);
    }
    return loaded.value;
  }

  readManifest(): configuration.BaselineManifest | undefined {
    const file = this.getFile(configuration.BASELINE_KEY);
    const text = files.readTextIfExists(file);
    if (text === undefined) {
      return undefined;
    }
    const manifest = configuration.parseManifest(text);
    if (manifest.isErr()) {
      throw output.createFindingsError(file, manifest.error);
    }
    return manifest.value;
  }

  #applyNote(
    snapshot: configuration.TableSnapshot | undefined,
    number: number,
  ): configuration.TableSnapshot {
    const expected = (snapshot?.number ?? 0) + 1;
    if (number !== expected) {
      throw this.#createGapError(expected);
    }
    const file = this.getNoteFile(number);
    const next = configuration.applyNoteText(snapshot, files.readText(file));
    if (next.isErr()) {
      throw output.createFindingsError(file, next.error.diagnostics);
    }
    return next.value;
  }

  #createGapError(number: number): output.FindingsError {
    const gap = model.createDiagnostic(model.Diagnostics.chainGap, [number]);
    return output.createFindingsError(this.getNoteFile(number), [gap]);
  }
}
