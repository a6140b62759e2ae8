/**
 * Builds a configuration from the chunks of a baseline.
 */

import * as model from "@hemlockwalk/model";
import * as neverthrow from "neverthrow";
import * as compactKeys from "./compact_keys.ts";
import * as noteCheck from "./note_check.ts";
import * as references from "./references.ts";
import * as shardedMap from "./sharded_map.ts";
import * as snapshots from "./snapshot.ts";
import * as tableView from "./table_view.ts";

/** Lines that are parsed between two yields. */
const LINES_PER_STEP = 32;

/** Entities whose references are checked between two yields. */
const ENTITIES_PER_STEP = 64;

type EntityMap = shardedMap.EntityMap<string, references.Entity>;

/** Builds new tables from the chunks of a baseline, and exposes them only after all checks. */
export class BaselineBuilder {
  readonly #workspaces = new shardedMap.ShardedMap<model.WorkspaceId, model.Workspace>();
  readonly #keys = new compactKeys.CompactKeys();
  readonly #services = new shardedMap.ShardedMap<model.ServiceId, model.Service>();
  readonly #targets = new shardedMap.ShardedMap<model.TargetId, model.Target>();
  readonly #routes = new shardedMap.ShardedMap<model.RouteId, model.Route>();
  readonly #routesByPrefix = new shardedMap.ShardedMap<string, model.Route>();
  readonly #serviceTargets = new shardedMap.ShardedMap<model.ServiceId, readonly model.Target[]>();
  readonly #counts = new references.ReferenceCounts();
  readonly #diagnostics: model.Diagnostic[] = [];
  #entities = 0;

  /** Parses one chunk in short steps. `finishInSteps` returns the errors that it contains. */
  *addChunkInSteps(text: string): Generator<void, void> {
    let start = 0;
    for (let line = 1; start < text.length; line++) {
      const lineBreak = text.indexOf("\n", start);
      const end = lineBreak === -1 ? text.length : lineBreak;
      this.#addLine(text.slice(start, end), line);
      start = end + 1;
      if (line % LINES_PER_STEP === 0) {
        yield;
      }
    }
  }

  /**
   * Checks the collected entities and creates the snapshot, in short steps.
   *
   * @param entities The number of entities that the source of the baseline announced.
   */
  *finishInSteps(
    identity: snapshots.SnapshotIdentity,
    entities: number,
  ): Generator<void, neverthrow.Result<snapshots.TableSnapshot, readonly model.Diagnostic[]>> {
    if (this.#entities !== entities) {
      this.#report(model.Diagnostics.baselineCount, [this.#entities, entities]);
    }
    for (const section of model.SECTION_NAMES) {
      yield* this.#checkReferences(section);
    }
    if (this.#diagnostics.length > 0) {
      return neverthrow.err(this.#diagnostics);
    }
    yield* this.#indexRoutes();
    yield* this.#indexTargets();
    if (this.#diagnostics.length > 0) {
      return neverthrow.err(this.#diagnostics);
    }
    return neverthrow.ok(new snapshots.TableSnapshot(identity, this.#createViews(), this.#counts));
  }

  #addLine(line: string, lineNumber: number): void {
    const value = model.parseValue(line).unwrapOr(undefined);
    if (!Array.isArray(value) || value.length !== 2 || !isSection(value[0])) {
      this.#report(model.Diagnostics.baselineLine, [
        lineNumber,
        "Expected a section and an entity",
      ]);
      return;
    }
    const section = value[0];
    const checked = model.entitySchemas[section].safeParse(value[1]);
    if (!checked.success) {
      const issue = checked.error.issues[0]?.message ?? "";
      this.#report(model.Diagnostics.baselineLine, [lineNumber, issue]);
      return;
    }
    const id = references.getEntityId(checked.data);
    const map = this.#getMap(section);
    if (map.get(id) !== undefined) {
      const kind = references.KIND_NAMES[section];
      this.#report(model.Diagnostics.baselineRepeated, [kind, id]);
    }
    map.set(id, checked.data);
    this.#entities++;
  }

  *#checkReferences(section: model.SectionName): Generator<void, void> {
    for (let shard = 0; shard < shardedMap.SHARD_COUNT; shard++) {
      let count = 0;
      for (const entity of this.#getMap(section).copyShard(shard).values()) {
        for (const reference of references.listReferences(section, entity)) {
          this.#checkReference(section, entity, reference);
        }
        this.#internWorkspaceId(section, entity);
        count++;
        if (count % ENTITIES_PER_STEP === 0) {
          yield;
        }
      }
      yield;
    }
  }

  #checkReference(
    section: model.SectionName,
    entity: references.Entity,
    reference: references.Reference,
  ): void {
    if (this.#getMap(reference.section).get(reference.id) === undefined) {
      this.#report(model.Diagnostics.unknownReference, [
        references.KIND_NAMES[section],
        references.getEntityId(entity),
        references.KIND_NAMES[reference.section],
        reference.id,
      ]);
    }
    this.#counts.add(reference.section, reference.id, 1);
  }

  /** Makes a key share its workspace's identifier string, so that the duplicate can be freed. */
  #internWorkspaceId(section: model.SectionName, entity: references.Entity): void {
    if (section !== "keys") {
      return;
    }
    const key = entity as model.Key;
    const workspace = this.#workspaces.get(key.workspace);
    if (workspace !== undefined) {
      this.#keys.set(key.digest, { digest: key.digest, workspace: workspace.id });
    }
  }

  *#indexRoutes(): Generator<void, void> {
    for (let shard = 0; shard < shardedMap.SHARD_COUNT; shard++) {
      for (const route of this.#routes.copyShard(shard).values()) {
        const prefix = snapshots.getRoutePrefix(route.host, route.pathPrefix);
        const other = this.#routesByPrefix.get(prefix);
        if (other !== undefined) {
          this.#report(model.Diagnostics.routeConflict, [other.id, route.id]);
        }
        this.#routesByPrefix.set(prefix, route);
      }
      yield;
    }
  }

  *#indexTargets(): Generator<void, void> {
    const lists = new Map<model.ServiceId, model.Target[]>();
    for (let shard = 0; shard < shardedMap.SHARD_COUNT; shard++) {
      for (const target of this.#targets.copyShard(shard).values()) {
        const list = lists.get(target.service) ?? [];
        list.push(target);
        lists.set(target.service, list);
      }
      yield;
    }
    for (const [service, list] of lists) {
      this.#serviceTargets.set(service, noteCheck.sortTargets(list));
      yield;
    }
  }

  #createViews(): snapshots.SnapshotViews {
    return {
      workspaces: new tableView.TableView(this.#workspaces),
      keys: new tableView.TableView(this.#keys),
      services: new tableView.TableView(this.#services),
      targets: new tableView.TableView(this.#targets),
      routes: new tableView.TableView(this.#routes),
      routesByPrefix: new tableView.TableView(this.#routesByPrefix),
      serviceTargets: new tableView.TableView(this.#serviceTargets),
    };
  }

  #getMap(section: model.SectionName): EntityMap {
    const maps = {
      workspaces: this.#workspaces,
      keys: this.#keys,
      services: this.#services,
      targets: this.#targets,
      routes: this.#routes,
    };
    return maps[section];
  }

  #report(row: model.DiagnosticMessage, values: readonly (string | number)[]): void {
    if (this.#diagnostics.length < model.MAXIMUM_FINDINGS) {
      this.#diagnostics.push(model.createDiagnostic(row, values));
    }
  }
}

function isSection(value: unknown): value is model.SectionName {
  return (model.SECTION_NAMES as readonly unknown[]).includes(value);
}

/** Lists the keys that were withdrawn or moved to another workspace, in short steps. */
export function* listWithdrawnKeysInSteps(
  previous: snapshots.TableSnapshot | undefined,
  current: snapshots.TableSnapshot,
): Generator<void, model.KeyDigest[]> {
  const withdrawn: model.KeyDigest[] = [];
  for (let shard = 0; shard < shardedMap.SHARD_COUNT; shard++) {
    for (const key of previous?.views.keys.copyShard(shard).values() ?? []) {
      if (current.findKey(key.digest)?.workspace !== key.workspace) {
        withdrawn.push(key.digest);
      }
    }
    yield;
  }
  return withdrawn;
}
