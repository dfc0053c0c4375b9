// Guards against settings errors that do not name the line and key to correct.
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {z} from 'zod';
import {formatYamlError, parseYaml} from '../src/index.js';

const schema = z.strictObject({
  host: z.string(),
  peers: z.array(z.strictObject({address: z.string()})),
});

const CASES = [
  {
    name: 'unknown key',
    text: 'host: a\npeers:\n  - adress: x\n    address: y\n',
    line: 3,
    key: 'peers.0.adress',
    hint: 'did you mean "address"?',
  },
  {name: 'wrong type', text: 'host: 3\npeers: []\n', line: 1, key: 'host'},
  {name: 'missing value', text: 'peers: []\n', line: 1, key: 'host'},
  {name: 'broken YAML', text: 'host: a\npeers: [\n', line: 3, key: ''},
];

for (const {name, text, line, key, hint} of CASES) {
  test(`settings: ${name} names the line and the key`, () => {
    const parsed = parseYaml('host.yaml', text, schema);
    assert.equal(parsed.ok, false);
    const [fault] = parsed.ok ? [] : parsed.faults;
    assert.equal(fault.line, line);
    assert.equal(fault.key, key);
    if (hint !== undefined) assert.equal(fault.hint, hint);
    assert.match(formatYamlError(fault), /^host\.yaml:\d+:/);
  });
}
