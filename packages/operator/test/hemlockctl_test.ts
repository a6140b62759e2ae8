/**
 * Runs the operators' tool as a child process and checks its files, output and exit codes.
 */

import assert from "node:assert/strict";
import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as http from "node:http";
import type * as net from "node:net";
import * as os from "node:os";
import * as path from "node:path";
import process from "node:process";
import * as test from "node:test";
import * as url from "node:url";
import * as model from "@hemlockwalk/model";

const BINARY = url.fileURLToPath(new URL("../src/main.js", import.meta.url));

/** Large differences are printed with one entity per line and can exceed the default buffer. */
const MAXIMUM_OUTPUT_BYTES = 64_000_000;

interface RunResult {
  readonly code: number | null;
  readonly out: string;
  readonly errors: string;
}

/** A temporary folder for one test, in which the tool runs. */
class TestEnvironment {
  readonly folder = fs.mkdtempSync(path.join(os.tmpdir(), "hemlockctl-"));

  write(file: string, content: unknown): void {
    const text = typeof content === "string" ? content : JSON.stringify(content);
    const name = path.join(this.folder, file);
    fs.mkdirSync(path.dirname(name), { recursive: true });
    fs.writeFileSync(name, text);
  }

  read(file: string): string {
    return fs.readFileSync(path.join(this.folder, file), "utf8");
  }

  run(...parameters: string[]): Promise<RunResult> {
    return new Promise((resolve) => {
      const options = {
        cwd: this.folder,
        env: { ...process.env, NO_COLOR: "1" },
        maxBuffer: MAXIMUM_OUTPUT_BYTES,
      };
      const file = process.execPath;
      childProcess.execFile(file, [BINARY, ...parameters], options, (error, out, errors) => {
        const code = error === null ? 0 : Number(error.code ?? 1);
        resolve({ code, out, errors });
      });
    });
  }
}

const KEY = "inspector-key";
const DIGEST = model.createKeyDigest(KEY);

const WORKSPACE_DECLARATIONS = `{
  // Inspectors come first.
  "workspaces": [
    { "id": "antwerp", "rate": 50, "burst": 100, "weight": 2 },
    { "id": "ghent", "rate": 10, "burst": 20 },
  ],
  "keys": [{ "digest": "${DIGEST}", "workspace": "antwerp" }],
}
`;

const SERVICE_DECLARATIONS = {
  fleet: { vmLimit: 44 },
  services: [{ id: "inspection", slots: 6, connections: 330 }],
  targets: [
    { id: "inspection-1", service: "inspection", address: "10.0.0.1:80", dataCentre: "north-1" },
  ],
  routes: [
    { id: "fines", pathPrefix: "/fines", service: "inspection", workspaces: ["antwerp"] },
  ],
};

function run(name: string, body: (environment: TestEnvironment) => Promise<void>): void {
  test.it(name, async () => {
    const environment = new TestEnvironment();
    environment.write("declared/people.jsonc", WORKSPACE_DECLARATIONS);
    environment.write("declared/services.json", SERVICE_DECLARATIONS);
    try {
      await body(environment);
    } finally {
      fs.rmSync(environment.folder, { recursive: true });
    }
  });
}

test.describe("hemlockctl", { concurrency: 3 }, () => {
  run("creates, compacts and verifies a chain from declarations", async (environment) => {
    assert.equal((await environment.run("note", "new", "chain", "declared")).code, 0);
    assert.equal((await environment.run("note", "new", "chain", "declared")).out, "No changes.\n");
    assert.equal((await environment.run("compact", "chain")).code, 0);

    environment.write(
      "declared/people.jsonc",
      WORKSPACE_DECLARATIONS.replace('"rate": 50', '"rate": 60'),
    );
    const written = await environment.run("note", "new", "chain", "declared");
    assert.equal(written.out, "chain/notes/2.json: written\n");
    assert.match(written.errors, /^~ workspaces \{"id":"antwerp","rate":60,/);
    const verified = await environment.run("verify", "chain");
    assert.equal(verified.out, "chain: 2 notes, a baseline of note 1, no findings\n");
    const head = JSON.parse(environment.read("chain/head.json")) as {
      number: number;
      digest: string;
    };
    const text = environment.read("chain/notes/2.json");
    assert.deepEqual(head, { number: 2, digest: model.createNoteDigest(text) });

    const difference = await environment.run("diff", "chain@1", "declared");
    assert.match(difference.out, /^~ workspaces .*"rate":60/);
    // The first note may be removed once a baseline contains the resulting state.
    fs.rmSync(path.join(environment.folder, "chain/notes/1.json"));
    assert.equal((await environment.run("verify", "chain")).code, 0);
    assert.equal((await environment.run("diff", "chain", "declared")).out, "No differences.\n");
  });

  run(
    "splits a difference above the platform's size limit into several notes",
    async (environment) => {
      const count = 7_000;
      const workspaces = Array.from(
        { length: count },
        (_, index) => ({ id: `city-${index}`, rate: 1, burst: 1 }),
      );
      environment.write("declared/cities.json", {
        workspaces,
        keys: workspaces.map(({ id }) => ({ digest: model.createKeyDigest(id), workspace: id })),
        routes: workspaces.slice(0, 10).map(({ id }) => ({
          id,
          pathPrefix: `/${id}`,
          service: "inspection",
          workspaces: [id],
        })),
      });
      assert.equal((await environment.run("note", "new", "chain", "declared")).code, 0);
      const notes = fs.readdirSync(path.join(environment.folder, "chain/notes"));
      assert.ok(notes.length > 1, `${notes.length} notes`);
      for (const note of notes) {
        const bytes = Buffer.byteLength(environment.read(`chain/notes/${note}`));
        assert.ok(bytes <= model.MAXIMUM_NOTE_BYTES, `${note} has ${bytes} bytes`);
      }
      assert.equal((await environment.run("diff", "chain", "declared")).out, "No differences.\n");
      // Removes all of these entities again.
      await environment.run("compact", "chain");
      assert.equal((await environment.run("verify", "chain")).code, 0);
      fs.rmSync(path.join(environment.folder, "declared/cities.json"));
      assert.equal((await environment.run("note", "new", "chain", "declared")).code, 0);
      assert.equal((await environment.run("diff", "chain", "declared")).out, "No differences.\n");
    },
  );

  run("reports defects of a chain", async (environment) => {
    await environment.run("note", "new", "chain", "declared");
    await environment.run("compact", "chain");
    const chunk = environment.read("chain/baselines/1/0.txt");
    environment.write("chain/baselines/1/0.txt", chunk.slice(0, chunk.length >> 1));
    const truncated = await environment.run("verify", "chain");
    assert.equal(truncated.code, 2);
    assert.match(truncated.errors, /^chain\/baselines\/1\/0\.txt - HW4005 /);
    environment.write("chain/baselines/1/0.txt", chunk);

    // A baseline that is consistent in itself but differs from the notes.
    const changed = chunk.replace('"burst":100', '"burst":101');
    environment.write("chain/baselines/1/0.txt", changed);
    const manifest = environment.read("chain/baseline.json")
      .replace(model.createTextDigest(chunk), model.createTextDigest(changed));
    environment.write("chain/baseline.json", manifest);
    assert.match(
      (await environment.run("verify", "chain")).errors,
      /^chain\/baseline\.json - HW4104 /,
    );

    const note = environment.read("chain/notes/1.json");
    environment.write("chain/notes/2.json", note.replace('"number": 1', '"number": 2'));
    const wrong = await environment.run("verify", "chain");
    assert.equal(wrong.code, 2);
    assert.match(wrong.errors, /^chain\/notes\/2\.json:\d+:\d+ - HW4001 previous: /);
    fs.renameSync(
      path.join(environment.folder, "chain/notes/2.json"),
      path.join(environment.folder, "chain/notes/3.json"),
    );
    assert.match((await environment.run("verify", "chain")).errors, /HW4006 Note 2 is missing\./);
  });

  run("reports the file, line and field of an invalid declaration", async (environment) => {
    environment.write("declared/more.json", {
      workspaces: [{ id: "ghent", rate: 1, burst: 1 }],
      keys: [{ digest: DIGEST, workspace: "ghent" }],
    });
    const repeated = await environment.run("note", "new", "chain", "declared");
    assert.equal(repeated.code, 2);
    // Files are read in the order of their names, so more.json is read before people.jsonc.
    assert.match(repeated.errors, /^declared\/people\.jsonc:5:5 - HW5001 workspaces\[1\]: /);
    assert.match(repeated.errors, /people\.jsonc:7:12 - HW5001 keys\[0\]: The key /);

    environment.write("declared/more.json", { routes: [{ id: "x", pathPrefix: "x", service: 1 }] });
    const wrong = await environment.run("note", "new", "chain", "declared");
    assert.match(wrong.errors, /^declared\/more\.json:1:\d+ - HW1003 routes\[0\]\.pathPrefix: /);

    environment.write("declared/more.json", {
      routes: [{ id: "x", pathPrefix: "/x", service: "nowhere" }],
    });
    const unknown = await environment.run("note", "new", "chain", "declared");
    assert.match(
      unknown.errors,
      /^chain\/notes\/1\.json:\d+:\d+ - HW3004 added\.routes\[1\]\.service: /,
    );
    assert.equal(fs.existsSync(path.join(environment.folder, "chain")), false);

    const missing = await environment.run("check", "nothing.json");
    assert.equal(missing.code, 2);
    assert.match(missing.errors, /^nothing\.json - HW1004 /);
  });

  run("checks a note against its chain", async (environment) => {
    await environment.run("note", "new", "chain", "declared");
    const digest = model.createNoteDigest(environment.read("chain/notes/1.json"));
    const note = { format: 1, number: 2, previous: digest, withdrawn: { workspaces: ["antwerp"] } };
    environment.write("next.json", note);
    assert.equal((await environment.run("check", "next.json")).code, 0);
    const against = await environment.run("check", "next.json", "--chain", "chain");
    assert.equal(against.code, 2);
    assert.match(against.errors, /HW3006 withdrawn\.workspaces\[0\]: /);
  });

  run("explains how a request is handled", async (environment) => {
    await environment.run("note", "new", "chain", "declared");
    const explain = async (...parameters: string[]) =>
      (await environment.run("explain", "chain", ...parameters)).out;
    const served = await explain("--path", "/fines/7", "--key", KEY);
    assert.match(served, /route: fines[^]*service: inspection[^]*rate: 50 a second, burst: 100/);
    assert.doesNotMatch(served, new RegExp(KEY));
    assert.match(await explain("--path", "/fines"), /refused: the route needs a key/);
    assert.match(await explain("--path", "/fines", "--key", "x"), /refused: the key is unknown/);
    assert.match(await explain("--path", "/nothing"), /refused: no route matches/);
  });

  run("prints a key once, with its digest", async (environment) => {
    const { out } = await environment.run("key", "new");
    const [, key = "", digest] = /^key: {4}(\S+)\ndigest: (\S+)\n$/.exec(out) ?? [];
    assert.equal(model.createKeyDigest(key), digest);
  });

  run(
    "reports differing digests, refused notes and VMs without a response",
    async (environment) => {
      const statuses = ["a".repeat(64), "b".repeat(64)].map((digest, index) => ({
        vm: `vm-${index}`,
        dataCentre: "north-1",
        state: "running",
        configuration: {
          number: 5,
          digest,
          ready: true,
          highestHeard: 5,
          platformReader: false,
          platformContactAgeMilliseconds: 10,
          forks: [],
          refusedNotes: index === 0 ? [] : [{ number: 6, digest, findings: ["notes/6 - HW3004"] }],
        },
      }));
      const servers = statuses.map((status) =>
        http.createServer((_, response) => response.end(JSON.stringify(status)))
      );
      for (const server of servers) {
        await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
      }
      const [first = "", second = ""] = servers.map((server) =>
        `127.0.0.1:${(server.address() as net.AddressInfo).port}`
      );
      const withoutAlarms = await environment.run("status", first);
      assert.deepEqual([withoutAlarms.code, withoutAlarms.errors], [0, ""]);
      const withAlarms = await environment.run("status", first, second);
      assert.equal(withAlarms.code, 4);
      assert.match(
        withAlarms.errors,
        /vm-1: refused notes\/6 - HW3004\n.*note 5 is another one/,
      );
      servers.forEach((server) => server.close());
      const unreachable = await environment.run("status", "127.0.0.1:9");
      assert.equal(unreachable.code, 3);
    },
  );
});
