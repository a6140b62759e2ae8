/**
 * The declared state: a folder of JSON files with comments, kept under version control.
 */

import * as configuration from "@hemlockwalk/configuration";
import * as model from "@hemlockwalk/model";
import * as zod from "zod";
import * as files from "./files.ts";
import * as output from "./output.ts";

const declarationSchema = zod.strictObject({
  fleet: model.fleetSchema.optional(),
  workspaces: zod.array(model.entitySchemas.workspaces).default([]),
  keys: zod.array(model.entitySchemas.keys).default([]),
  services: zod.array(model.entitySchemas.services).default([]),
  targets: zod.array(model.entitySchemas.targets).default([]),
  routes: zod.array(model.entitySchemas.routes).default([]),
});

/** Entities of all kinds by identifier. */
export type EntityTables = Record<model.SectionName, Map<string, configuration.Entity>>;

/** A complete state, either declared or resulting from notes. */
export interface EntityState {
  readonly fleet: model.FleetDeclaration | undefined;
  readonly tables: EntityTables;
}

/** Creates a state without a fleet or entities. */
export function createEmptyState(): EntityState {
  return { fleet: undefined, tables: createEmptyTables() };
}

/** Returns the state of a configuration. */
export function getState(snapshot: configuration.TableSnapshot | undefined): EntityState {
  if (snapshot === undefined) {
    return createEmptyState();
  }
  const tables = createEmptyTables();
  for (const section of model.SECTION_NAMES) {
    for (const entity of snapshot.views[section].values()) {
      tables[section].set(configuration.getEntityId(entity), entity);
    }
  }
  return { fleet: snapshot.fleet, tables };
}

/**
 * Reads all `.json` and `.jsonc` files of a folder.
 *
 * @throws {output.FindingsError} With the findings of all files, if there are any.
 */
export function readDeclarations(folder: string): EntityState {
  const findings: output.FileFinding[] = [];
  const tables = createEmptyTables();
  let fleet: model.FleetDeclaration | undefined;
  for (const file of files.listFiles(folder)) {
    if (!/\.jsonc?$/.test(file)) {
      continue;
    }
    const text = files.readText(file);
    const declared = model.parseDocument(text, declarationSchema);
    if (declared.isErr()) {
      findings.push(...declared.error.map((diagnostic) => ({ file, diagnostic })));
      continue;
    }
    const repeated = model.SECTION_NAMES.flatMap((section) =>
      addEntities(tables, section, declared.value[section])
    );
    if (declared.value.fleet !== undefined && fleet !== undefined) {
      const values = ["declaration of the", "fleet"];
      repeated.push(model.createDiagnostic(model.Diagnostics.declaredTwice, values, ["fleet"]));
    }
    fleet ??= declared.value.fleet;
    const located = model.locateDiagnostics(text, repeated);
    findings.push(...located.map((diagnostic) => ({ file, diagnostic })));
  }
  if (findings.length > 0) {
    throw new output.FindingsError(findings);
  }
  return { fleet, tables };
}

function addEntities(
  tables: EntityTables,
  section: model.SectionName,
  entities: readonly configuration.Entity[],
): model.Diagnostic[] {
  const repeated: model.Diagnostic[] = [];
  for (const [index, entity] of entities.entries()) {
    const id = configuration.getEntityId(entity);
    if (tables[section].has(id)) {
      const values = [configuration.KIND_NAMES[section], id];
      const row = model.Diagnostics.declaredTwice;
      repeated.push(model.createDiagnostic(row, values, [section, index]));
    }
    tables[section].set(id, entity);
  }
  return repeated;
}

function createEmptyTables(): EntityTables {
  return {
    workspaces: new Map(),
    keys: new Map(),
    services: new Map(),
    targets: new Map(),
    routes: new Map(),
  };
}
