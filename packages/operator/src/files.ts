/**
 * Reading and writing files, with findings in place of exceptions of the file system.
 */

import * as fs from "node:fs";
import * as path from "node:path";
import * as model from "@hemlockwalk/model";
import * as output from "./output.ts";

/**
 * Reads a text file.
 *
 * @throws {output.FindingsError} When it cannot be read.
 */
export function readText(file: string): string {
  try {
    return fs.readFileSync(file, "utf8");
  } catch (error) {
    throw createUnreadable(file, error);
  }
}

/** Reads a text file; undefined when there is none. */
export function readTextIfExists(file: string): string | undefined {
  return fs.existsSync(file) ? readText(file) : undefined;
}

/** Writes a text file and the folders that it needs. */
export function writeText(file: string, text: string): void {
  fs.mkdirSync(path.dirname(file), { recursive: true });
  fs.writeFileSync(file, text);
}

/** Lists the files of a folder in the order of their names, those of its subfolders included. */
export function listFiles(folder: string): string[] {
  try {
    return fs.readdirSync(folder, { recursive: true, withFileTypes: true })
      .filter((entry) => entry.isFile())
      .map((entry) => path.join(entry.parentPath, entry.name))
      .sort();
  } catch (error) {
    throw createUnreadable(folder, error);
  }
}

/** Whether there is a folder with this name. */
export function isFolder(name: string): boolean {
  return fs.statSync(name, { throwIfNoEntry: false })?.isDirectory() ?? false;
}

function createUnreadable(file: string, error: unknown): output.FindingsError {
  const detail = error instanceof Error ? error.message : String(error);
  const finding = model.createDiagnostic(model.Diagnostics.fileUnreadable, [detail]);
  return output.createFindingsError(file, [finding]);
}
