/**
 * Checks the whole configuration after each note, in plain maps. This is the oracle for the
 * incremental check.
 */

import * as configuration from "../src/mod.ts";
import * as model from "@hemlockwalk/model";
import * as neverthrow from "neverthrow";

/** Entities by identifier, in plain maps. */
export interface PlainTables {
  readonly workspaces: Map<string, model.Workspace>;
  readonly keys: Map<string, model.Key>;
  readonly services: Map<string, model.Service>;
  readonly targets: Map<string, model.Target>;
  readonly routes: Map<string, model.Route>;
}

/** A configuration in plain maps. */
export interface PlainState {
  readonly number: number;
  readonly digest: model.NoteDigest;
  readonly fleet: model.FleetDeclaration;
  readonly tables: PlainTables;
}

function copyTables(tables: PlainTables | undefined): PlainTables {
  return {
    workspaces: new Map(tables?.workspaces),
    keys: new Map(tables?.keys),
    services: new Map(tables?.services),
    targets: new Map(tables?.targets),
    routes: new Map(tables?.routes),
  };
}

type ApplyResult = neverthrow.Result<PlainState, configuration.NoteRefusal>;

/**
 * Applies the note with the given text to the current configuration.
 *
 * @returns The next configuration, or the diagnostics if the note is refused.
 */
export function applyNoteText(
  current: PlainState | undefined,
  text: string,
): ApplyResult {
  return model.parseReleaseNote(text)
    .mapErr((diagnostics): configuration.NoteRefusal => ({ kind: "invalid", diagnostics }))
    .andThen((note) => applyNote(current, note, model.createNoteDigest(text)));
}

/** Applies a checked note whose text has the given digest. */
export function applyNote(
  current: PlainState | undefined,
  note: model.ReleaseNote,
  digest: model.NoteDigest,
): ApplyResult {
  const outOfOrder = checkOrder(current, note);
  if (outOfOrder !== undefined) {
    return neverthrow.err({ kind: "out_of_order", diagnostics: [outOfOrder] });
  }
  const fleet = note.fleet ?? current?.fleet;
  if (fleet === undefined) {
    const missing = model.createDiagnostic(model.Diagnostics.fleetMissing, [], "fleet");
    return neverthrow.err({ kind: "invalid", diagnostics: [missing] });
  }
  const tables = copyTables(current?.tables);
  const diagnostics = new NoteChanges(note, tables).apply();
  if (diagnostics.length > 0) {
    return neverthrow.err({ kind: "invalid", diagnostics });
  }
  return neverthrow.ok({ number: note.number, digest, fleet, tables });
}

function checkOrder(
  current: PlainState | undefined,
  note: model.ReleaseNote,
): model.Diagnostic | undefined {
  const currentNumber = current?.number ?? 0;
  if (note.number !== currentNumber + 1) {
    return model.createDiagnostic(
      model.Diagnostics.wrongNumber,
      [note.number, currentNumber],
      "number",
    );
  }
  const currentDigest = current?.digest ?? null;
  if (note.previous !== currentDigest) {
    return model.createDiagnostic(
      model.Diagnostics.wrongPredecessor,
      [note.number, String(note.previous), String(currentDigest)],
      "previous",
    );
  }
  return undefined;
}

/** Applies the changes of one note to the tables and checks the result. */
class NoteChanges {
  readonly #note: model.ReleaseNote;
  readonly #tables: PlainTables;
  readonly #diagnostics: model.Diagnostic[] = [];

  constructor(note: model.ReleaseNote, tables: PlainTables) {
    this.#note = note;
    this.#tables = tables;
  }

  apply(): readonly model.Diagnostic[] {
    this.#applyKind("workspace", "workspaces", this.#tables.workspaces, (entity) => entity.id);
    this.#applyKind("key", "keys", this.#tables.keys, (entity) => entity.digest);
    this.#applyKind("service", "services", this.#tables.services, (entity) => entity.id);
    this.#applyKind("target", "targets", this.#tables.targets, (entity) => entity.id);
    this.#applyKind("route", "routes", this.#tables.routes, (entity) => entity.id);
    this.#checkReferences();
    this.#checkRoutePrefixes();
    return this.#diagnostics;
  }

  #applyKind<Id extends string, Entity>(
    kind: string,
    section: model.SectionName,
    table: Map<string, Entity>,
    getId: (entity: Entity) => Id,
  ): void {
    const added = this.#note.added[section] as unknown as readonly Entity[];
    const changed = this.#note.changed[section] as unknown as readonly Entity[];
    const withdrawn = this.#note.withdrawn[section] as unknown as readonly Id[];
    const seen = new Set<Id>();
    const isRepeated = (id: Id, field: string) => {
      if (!seen.has(id)) {
        seen.add(id);
        return false;
      }
      this.#report(model.Diagnostics.listedTwice, [kind, id], field);
      return true;
    };
    for (const [index, id] of withdrawn.entries()) {
      const field = `withdrawn.${section}[${index}]`;
      if (!isRepeated(id, field) && !table.delete(id)) {
        this.#report(model.Diagnostics.doesNotExist, [kind, id], field);
      }
    }
    for (const [index, entity] of changed.entries()) {
      const id = getId(entity);
      const field = `changed.${section}[${index}]`;
      if (!isRepeated(id, field) && !table.has(id)) {
        this.#report(model.Diagnostics.doesNotExist, [kind, id], field);
      }
      table.set(id, entity);
    }
    for (const [index, entity] of added.entries()) {
      const id = getId(entity);
      const field = `added.${section}[${index}]`;
      if (!isRepeated(id, field) && table.has(id)) {
        this.#report(model.Diagnostics.alreadyExists, [kind, id], field);
      }
      table.set(id, entity);
    }
  }

  #checkReferences(): void {
    const { workspaces, keys, services, targets, routes } = this.#tables;
    for (const key of keys.values()) {
      this.#checkReference("key", key.digest, "workspace", key.workspace, workspaces);
    }
    for (const target of targets.values()) {
      this.#checkReference("target", target.id, "service", target.service, services);
    }
    for (const route of routes.values()) {
      this.#checkReference("route", route.id, "service", route.service, services);
      for (const workspace of route.workspaces ?? []) {
        this.#checkReference("route", route.id, "workspace", workspace, workspaces);
      }
    }
  }

  #checkReference(
    fromKind: string,
    from: string,
    toKind: string,
    to: string,
    table: ReadonlyMap<string, unknown>,
  ): void {
    if (!table.has(to)) {
      this.#report(model.Diagnostics.unknownReference, [fromKind, from, toKind, to], "");
    }
  }

  #checkRoutePrefixes(): void {
    const routesByPrefix = new Map<string, model.RouteId>();
    for (const route of this.#tables.routes.values()) {
      const prefix = configuration.getRoutePrefix(route.host, route.pathPrefix);
      const other = routesByPrefix.get(prefix);
      if (other !== undefined) {
        this.#report(model.Diagnostics.routeConflict, [other, route.id], "");
      }
      routesByPrefix.set(prefix, route.id);
    }
  }

  #report(row: model.DiagnosticMessage, values: readonly (string | number)[], field: string): void {
    this.#diagnostics.push(model.createDiagnostic(row, values, field));
  }
}
