#ifndef MEADOWTHREAD_CLI_TEXT_TABLE_H_
#define MEADOWTHREAD_CLI_TEXT_TABLE_H_

#include <string>
#include <vector>

namespace meadowthread {

/// @brief Columns of text as wide as their widest cell.
class TextTable {
 public:
  explicit TextTable(std::vector<std::string> head);

  /// @brief Adds a row with as many cells as the head.
  void Add(std::vector<std::string> cells);

  /// @brief The whole table, each row a line.
  std::string Text() const;

 private:
  std::vector<std::vector<std::string>> rows;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_CLI_TEXT_TABLE_H_
