/**
 * Checks the changes of one note against the configuration to which it is applied.
 */

import * as kernel from "@hemlockwalk/kernel";
import * as model from "@hemlockwalk/model";
import * as references from "./references.ts";
import * as snapshots from "./snapshot.ts";
import * as tableView from "./table_view.ts";

/** Entities that are checked between two yields. */
const ENTITIES_PER_STEP = 8;

type StagedEntities = tableView.StagedTable<string, references.Entity>;

/** The tables of a configuration, with the uncommitted changes of a note on top. */
export class StagedTables {
  readonly workspaces: tableView.StagedTable<model.WorkspaceId, model.Workspace>;
  readonly keys: tableView.StagedTable<model.KeyDigest, model.Key>;
  readonly services: tableView.StagedTable<model.ServiceId, model.Service>;
  readonly targets: tableView.StagedTable<model.TargetId, model.Target>;
  readonly routes: tableView.StagedTable<model.RouteId, model.Route>;
  readonly routesByPrefix: tableView.StagedTable<string, model.Route>;
  readonly serviceTargets: tableView.StagedTable<model.ServiceId, readonly model.Target[]>;

  constructor(views: snapshots.SnapshotViews) {
    this.workspaces = new tableView.StagedTable(views.workspaces);
    this.keys = new tableView.StagedTable(views.keys);
    this.services = new tableView.StagedTable(views.services);
    this.targets = new tableView.StagedTable(views.targets);
    this.routes = new tableView.StagedTable(views.routes);
    this.routesByPrefix = new tableView.StagedTable(views.routesByPrefix);
    this.serviceTargets = new tableView.StagedTable(views.serviceTargets);
  }

  /** Returns the table of a section. */
  get(section: model.SectionName): StagedEntities {
    return this[section];
  }
}

/** Checks one note and stages its changes. */
export class NoteCheck {
  readonly staged: StagedTables;
  readonly diagnostics: model.Diagnostic[] = [];
  /** The changes that the note makes to the number of references to each entity. */
  readonly referenceDifferences = new references.ReferenceDifferences();
  readonly #note: model.ReleaseNote;
  readonly #views: snapshots.SnapshotViews;
  readonly #counts: references.ReferenceCounts;

  constructor(
    note: model.ReleaseNote,
    views: snapshots.SnapshotViews,
    counts: references.ReferenceCounts,
  ) {
    this.#note = note;
    this.#views = views;
    this.#counts = counts;
    this.staged = new StagedTables(views);
  }

  *runInSteps(): Generator<void, void> {
    for (const section of model.SECTION_NAMES) {
      yield* this.#stageSection(section);
    }
    for (const section of model.SECTION_NAMES) {
      yield* this.#countReferences(section);
      yield* this.#checkReferences(section, "changed");
      yield* this.#checkReferences(section, "added");
    }
    yield* this.#checkWithdrawn("workspaces");
    yield* this.#checkWithdrawn("services");
    yield* this.#stageRoutesByPrefix();
    yield* this.#stageServiceTargets();
  }

  /** Lists the keys that the note withdraws or moves to another workspace. */
  listWithdrawnKeys(): model.KeyDigest[] {
    const withdrawn: model.KeyDigest[] = [];
    for (const [digest, key] of this.staged.keys.changes) {
      const before = this.#views.keys.get(digest);
      if (before !== undefined && before.workspace !== key?.workspace) {
        withdrawn.push(digest);
      }
    }
    return withdrawn;
  }

  *#stageSection(section: model.SectionName): Generator<void, void> {
    const table = this.staged.get(section);
    const kind = references.KIND_NAMES[section];
    const seen = new Set<string>();
    const isRepeated = (id: string, path: readonly PropertyKey[]) => {
      if (!seen.has(id)) {
        seen.add(id);
        return false;
      }
      this.#report(model.Diagnostics.listedTwice, [kind, id], path);
      return true;
    };
    for (const [index, id] of this.#note.withdrawn[section].entries()) {
      const path = ["withdrawn", section, index];
      if (!isRepeated(id, path) && !table.has(id)) {
        this.#report(model.Diagnostics.doesNotExist, [kind, id], path);
      }
      table.set(id, undefined);
      if (isYieldPoint(index)) {
        yield;
      }
    }
    for (const part of ["changed", "added"] as const) {
      for (const [index, entity] of this.#note[part][section].entries()) {
        const id = references.getEntityId(entity);
        const path = [part, section, index];
        if (!isRepeated(id, path) && table.has(id) !== (part === "changed")) {
          const row = part === "changed"
            ? model.Diagnostics.doesNotExist
            : model.Diagnostics.alreadyExists;
          this.#report(row, [kind, id], path);
        }
        table.set(id, this.#internWorkspaceId(section, entity));
        if (isYieldPoint(index)) {
          yield;
        }
      }
    }
  }

  /** Makes a key share its workspace's identifier string, so that the duplicate can be freed. */
  #internWorkspaceId(section: model.SectionName, entity: references.Entity): references.Entity {
    if (section !== "keys") {
      return entity;
    }
    const key = entity as model.Key;
    const workspace = this.staged.workspaces.get(key.workspace);
    return workspace === undefined ? key : { digest: key.digest, workspace: workspace.id };
  }

  *#countReferences(section: model.SectionName): Generator<void, void> {
    const view = this.#views[section] as unknown as tableView.ReadonlyTable<
      string,
      references.Entity
    >;
    let count = 0;
    for (const [id, after] of this.staged.get(section).changes) {
      const before = view.get(id);
      this.#addReferences(section, before, -1);
      this.#addReferences(section, after, 1);
      if (isYieldPoint(count++)) {
        yield;
      }
    }
  }

  #addReferences(
    section: model.SectionName,
    entity: references.Entity | undefined,
    difference: number,
  ): void {
    if (entity === undefined) {
      return;
    }
    for (const reference of references.listReferences(section, entity)) {
      this.referenceDifferences.add(reference.section, reference.id, difference);
    }
  }

  *#checkReferences(
    section: model.SectionName,
    part: "added" | "changed",
  ): Generator<void, void> {
    for (const [index, entity] of this.#note[part][section].entries()) {
      for (const reference of references.listReferences(section, entity)) {
        if (!this.staged.get(reference.section).has(reference.id)) {
          this.#report(
            model.Diagnostics.unknownReference,
            [
              references.KIND_NAMES[section],
              references.getEntityId(entity),
              references.KIND_NAMES[reference.section],
              reference.id,
            ],
            [part, section, index, ...reference.path],
          );
        }
      }
      if (isYieldPoint(index)) {
        yield;
      }
    }
  }

  *#checkWithdrawn(section: references.ReferencedSection): Generator<void, void> {
    for (const [index, id] of this.#note.withdrawn[section].entries()) {
      const remaining = this.#counts.get(section, id) + this.referenceDifferences.get(section, id);
      const isReported = this.diagnostics.length < model.MAXIMUM_FINDINGS;
      if (isReported && remaining > 0 && !this.staged.get(section).has(id)) {
        const referrer = yield* this.#findReferrer(section, id);
        this.#report(
          model.Diagnostics.stillReferenced,
          [references.KIND_NAMES[section], id, ...referrer],
          ["withdrawn", section, index],
        );
      }
      if (isYieldPoint(index)) {
        yield;
      }
    }
  }

  /** Finds an entity that still refers to a withdrawn one, for the text of the diagnostic. */
  *#findReferrer(
    referenced: references.ReferencedSection,
    id: string,
  ): Generator<void, [string, string]> {
    let count = 0;
    for (const section of ["keys", "targets", "routes"] as const) {
      const staged = this.staged.get(section);
      const view = this.#views[section] as unknown as { values(): Iterable<references.Entity> };
      for (const entity of [...this.#note.added[section], ...this.#note.changed[section]]) {
        if (refersTo(section, entity, referenced, id)) {
          return [references.KIND_NAMES[section], references.getEntityId(entity)];
        }
      }
      for (const entity of view.values()) {
        const entityId = references.getEntityId(entity);
        if (refersTo(section, entity, referenced, id) && !staged.changes.has(entityId)) {
          return [references.KIND_NAMES[section], entityId];
        }
        if (isYieldPoint(count++)) {
          yield;
        }
      }
    }
    return ["", ""];
  }

  /** Stages the index of routes by prefix, and reports routes with the same host and prefix. */
  *#stageRoutesByPrefix(): Generator<void, void> {
    const { routes, routesByPrefix } = this.staged;
    let count = 0;
    for (const id of routes.changes.keys()) {
      const before = this.#views.routes.get(id);
      if (before !== undefined) {
        routesByPrefix.set(snapshots.getRoutePrefix(before.host, before.pathPrefix), undefined);
      }
      if (isYieldPoint(count++)) {
        yield;
      }
    }
    for (const part of ["changed", "added"] as const) {
      for (const [index, route] of this.#note[part].routes.entries()) {
        const prefix = snapshots.getRoutePrefix(route.host, route.pathPrefix);
        const other = routesByPrefix.get(prefix);
        if (other !== undefined && other.id !== route.id) {
          const values = [other.id, route.id];
          this.#report(model.Diagnostics.routeConflict, values, [part, "routes", index]);
        }
        routesByPrefix.set(prefix, route);
        if (isYieldPoint(index)) {
          yield;
        }
      }
    }
  }

  /** Stages new lists of targets for the services whose targets the note touches. */
  *#stageServiceTargets(): Generator<void, void> {
    const touched = new Map<model.ServiceId, model.Target[]>();
    for (const [id, after] of this.staged.targets.changes) {
      const before = this.#views.targets.get(id);
      if (before !== undefined && !touched.has(before.service)) {
        touched.set(before.service, []);
      }
      if (after !== undefined) {
        const list = touched.get(after.service) ?? [];
        list.push(after);
        touched.set(after.service, list);
      }
    }
    yield;
    for (const [service, changed] of touched) {
      const kept = (this.#views.serviceTargets.get(service) ?? [])
        .filter((target) => !this.staged.targets.changes.has(target.id));
      const list = sortTargets([...kept, ...changed]);
      this.staged.serviceTargets.set(service, list.length === 0 ? undefined : list);
      yield;
    }
    kernel.assert(
      touched.size === this.staged.serviceTargets.changes.size,
      "Each touched service has a new list.",
    );
  }

  #report(
    row: model.DiagnosticMessage,
    values: readonly (string | number)[],
    path: readonly PropertyKey[],
  ): void {
    // Further diagnostics are dropped, since the note is refused in any case.
    if (this.diagnostics.length < model.MAXIMUM_FINDINGS) {
      this.diagnostics.push(model.createDiagnostic(row, values, path));
    }
  }
}

/** Sorts targets in place by identifier. */
export function sortTargets(targets: model.Target[]): model.Target[] {
  return targets.sort((left, right) => (left.id < right.id ? -1 : 1));
}

function refersTo(
  section: model.SectionName,
  entity: references.Entity,
  referenced: references.ReferencedSection,
  id: string,
): boolean {
  return references.listReferences(section, entity)
    .some((reference) => reference.section === referenced && reference.id === id);
}

/** Whether to yield after the entity with this index. */
function isYieldPoint(index: number): boolean {
  return index % ENTITIES_PER_STEP === ENTITIES_PER_STEP - 1;
}
