/*
 * Licensed to the hallwall project under one or more contributor
 * license agreements.  See the NOTICE file distributed with
 * this work for additional information regarding copyright
 * ownership.  The hallwall project licenses this file to You
 * under the Apache License, Version 2.0 (the "License"); you may
 * not use this file except in compliance with the License.
 * You may obtain a copy of the License at
 *
 *   https://www.apache.org/licenses/LICENSE-2.0
 *
 * Unless required by applicable law or agreed to in writing,
 * software distributed under the License is distributed on an
 * "AS IS" BASIS, WITHOUT WARRANTIES OR CONDITIONS OF ANY
 * KIND, either express or implied.  See the License for the
 * specific language governing permissions and limitations
 * under the License.
 */
package org.hallwall.log;

import java.io.Closeable;
import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;

import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.jboss.logging.Logger;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/**
 * Keeps a voter's state in one data folder. Each method returns only after the files are synced.
 *
 * <p>The file {@code entries} is only ever appended to; one record holds one batch, and an index that comes again
 * replaces the entries from there on. It is written anew when a snapshot replaces its entries.
 */
public final class LogStore implements Closeable {

    private static final Logger LOG = Logger.getLogger(LogStore.class);
    private static final ObjectMapper MAPPER = new ObjectMapper(new MessagePackFactory());
    private static final String FOLDER = "folder";
    private static final String VOTE = "vote";
    private static final String SNAPSHOT = "snapshot";
    private static final String ENTRIES = "entries";

    private final Path directory;
    private LogStored stored;
    private FileChannel entries;
    private long syncs;

    private LogStore(Path directory) {
        this.directory = directory;
    }

    /**
     * Makes a data folder with which an operator forms a new fleet.
     *
     * @param directory the folder
     * @throws LogStoreException if the folder is in use already or cannot be written
     */
    public static void form(Path directory) throws LogStoreException {
        if (Files.exists(directory.resolve(FOLDER))) {
            throw new LogStoreException("the data folder is in use already");
        }
        create(directory, true);
    }

    /**
     * Opens a data folder; an empty one gets a new identity and must be admitted by the other voters.
     *
     * @param directory the folder
     * @return the open store
     * @throws LogStoreException if the files are damaged or cannot be read
     */
    public static LogStore open(Path directory) throws LogStoreException {
        if (!Files.exists(directory.resolve(FOLDER))) {
            LOG.warnf("log: the data folder is empty, it must be admitted before this voter votes");
            create(directory, false);
        }
        LogStore store = new LogStore(directory);
        try {
            store.load();
        } catch (LogStoreException e) {
            throw e;
        } catch (IOException e) {
            throw new LogStoreException("the data folder cannot be read", e);
        }
        return store;
    }

    /**
     * Gives what was stored when the folder was opened.
     *
     * @return the stored state
     */
    public LogStored stored() {
        return stored;
    }

    /**
     * Counts the disk syncs since the folder was opened.
     *
     * @return how many
     */
    public long syncs() {
        return syncs;
    }

    /**
     * Gives the size of the file of entries.
     *
     * @return bytes
     * @throws LogStoreException if the file cannot be read
     */
    public long entriesBytes() throws LogStoreException {
        try {
            return entries.size();
        } catch (IOException e) {
            throw new LogStoreException("the entries cannot be read", e);
        }
    }

    /**
     * Stores the term and the vote.
     *
     * @param vote the term and the vote
     * @throws LogStoreException if the disk failed
     */
    public void saveVote(LogVote vote) throws LogStoreException {
        replace(directory, VOTE, vote);
        syncs++;
    }

    /**
     * Stores that the folder is admitted.
     *
     * @param folder the folder's identity
     * @throws LogStoreException if the disk failed
     */
    public void saveFolder(LogFolder folder) throws LogStoreException {
        replace(directory, FOLDER, folder);
        syncs++;
    }

    /**
     * Stores a batch of entries, replacing all stored entries from the first one's index on.
     *
     * @param batch the entries
     * @throws LogStoreException if the disk failed
     */
    public void saveEntries(List<LogEntry> batch) throws LogStoreException {
        try {
            DurableFile.writeFully(entries, LogRecords.encode(MAPPER.writeValueAsBytes(batch)));
            entries.force(false);
            syncs++;
        } catch (IOException e) {
            throw new LogStoreException("entries cannot be written", e);
        }
    }

    /**
     * Stores a snapshot and the entries after it.
     *
     * @param snapshot the snapshot
     * @param kept the entries after it
     * @throws LogStoreException if the disk failed
     */
    public void saveSnapshot(LogSnapshot snapshot, List<LogEntry> kept) throws LogStoreException {
        replace(directory, SNAPSHOT, snapshot);
        try {
            entries.close();
            replace(directory, ENTRIES, kept);
            openEntries();
            syncs += 2;
        } catch (IOException e) {
            throw new LogStoreException("entries cannot be written", e);
        }
    }

    /**
     * Reads the latest snapshot.
     *
     * @return the snapshot
     * @throws LogStoreException if it cannot be read
     */
    public LogSnapshot snapshot() throws LogStoreException {
        return readOne(SNAPSHOT, LogSnapshot.class);
    }

    @Override
    public void close() throws LogStoreException {
        try {
            entries.close();
        } catch (IOException e) {
            throw new LogStoreException("entries cannot be closed", e);
        }
    }

    private static void create(Path directory, boolean founding) throws LogStoreException {
        try {
            Files.createDirectories(directory);
        } catch (IOException e) {
            throw new LogStoreException("the data folder cannot be made", e);
        }
        replace(directory, VOTE, new LogVote(0, null));
        replace(directory, SNAPSHOT, LogSnapshot.EMPTY);
        replace(directory, ENTRIES, List.of());
        // The identity comes last: a folder without it counts as empty.
        replace(directory, FOLDER, new LogFolder(UUID.randomUUID().toString(), founding));
    }

    private void load() throws IOException {
        LogFolder folder = readOne(FOLDER, LogFolder.class);
        LogVote vote = readOne(VOTE, LogVote.class);
        LogSnapshot snapshot = snapshot();
        openEntries();
        stored = new LogStored(folder, vote, snapshot, loadEntries(snapshot));
    }

    private List<LogEntry> loadEntries(LogSnapshot snapshot) throws IOException {
        byte[] bytes = Files.readAllBytes(directory.resolve(ENTRIES));
        LogRecords.Scan scan = LogRecords.scan(ENTRIES, bytes);
        if (scan.end() < bytes.length) {
            LOG.warnf("log: cut a torn tail of %d bytes", bytes.length - scan.end());
            entries.truncate(scan.end());
            entries.force(true);
        }
        List<LogEntry> loaded = new ArrayList<>();
        for (byte[] content : scan.contents()) {
            for (LogEntry e : MAPPER.readValue(content, new TypeReference<List<LogEntry>>() {})) {
                take(loaded, e, snapshot.index());
            }
        }
        return loaded;
    }

    private static void take(List<LogEntry> loaded, LogEntry e, long base) throws LogStoreException {
        if (e.index() <= base) {
            loaded.clear();
            return;
        }
        int place = (int) (e.index() - base - 1);
        if (place > loaded.size()) {
            throw new LogStoreException(ENTRIES + " is damaged: index " + e.index() + " has a gap before it");
        }
        loaded.subList(place, loaded.size()).clear();
        loaded.add(e);
    }

    private void openEntries() throws IOException {
        entries = FileChannel.open(directory.resolve(ENTRIES), StandardOpenOption.WRITE);
        entries.position(entries.size());
    }

    private <T> T readOne(String file, Class<T> type) throws LogStoreException {
        try {
            LogRecords.Scan scan = LogRecords.scan(file, Files.readAllBytes(directory.resolve(file)));
            if (scan.contents().size() != 1) {
                throw new LogStoreException(file + " is damaged");
            }
            return MAPPER.readValue(scan.contents().get(0), type);
        } catch (LogStoreException e) {
            throw e;
        } catch (IOException e) {
            throw new LogStoreException(file + " cannot be read", e);
        }
    }

    private static void replace(Path directory, String file, Object content) throws LogStoreException {
        try {
            DurableFile.replace(directory, file, LogRecords.encode(MAPPER.writeValueAsBytes(content)));
        } catch (IOException e) {
            throw new LogStoreException(file + " cannot be written", e);
        }
    }
}
