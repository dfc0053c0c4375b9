import {parseArgs} from 'node:util';
import {printAddress} from '../common/serve.js';
import {createHostListStandIn} from './host-list.js';

const {values} = parseArgs({options: {port: {type: 'string', default: '0'}}});
printAddress(await createHostListStandIn({port: Number(values.port)}));
