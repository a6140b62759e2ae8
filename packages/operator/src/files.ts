/**
 * Reads and writes files. Read errors of the file system are reported as findings.
 */

import * as fs from "node:fs";
import * as path from "node:path";
import * as model from "@hemlockwalk/model";
import * as output from "./output.ts";

/**
 * Reads a text file.
 *
 * @throws {output.FindingsError} If the file cannot be read.
 */
export function readText(file: string): string {
  try {
    return fs.readFileSync(file, "utf8");
  } catch (error) {
    throw createUnreadableError(file, error);
  }
}

/** Reads a text file; undefined if it does not exist. */
export function readTextIfExists(file: string): string | undefined {
  return fs.existsSync(file) ? readText(file) : undefined;
}

/** Writes a text file and creates its parent folders. */
export function writeText(file: string, text: string): void {
  fs.mkdirSync(path.dirname(file), { recursive: true });
  fs.writeFileSync(file, text);
}

/** Lists the files of a folder and its subfolders, sorted by path. */
export function listFiles(folder: string): string[] {
  try {
    return fs.readdirSync(folder, { recursive: true, withFileTypes: true })
      .filter((entry) => entry.isFile())
      .map((entry) => path.join(entry.parentPath, entry.name))
      .sort();
  } catch (error) {
    throw createUnreadableError(folder, error);
  }
}

/** Whether a folder with this name exists. */
export function isFolder(name: string): boolean {
  return fs.statSync(name, { throwIfNoEntry: false })?.isDirectory() ?? false;
}

function createUnreadableError(file: string, error: unknown): output.FindingsError {
  const detail = error instanceof Error ? error.message : String(error);
  const finding = model.createDiagnostic(model.Diagnostics.fileUnreadable, [detail]);
  return output.createFindingsError(file, [finding]);
}
